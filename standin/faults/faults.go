// Package faults holds the fault injection settings of a stand-in, which can be changed at run time over HTTP.
package faults

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"

	"goldcrestport/standin/internal/reply"
)

// Settings is a set of fault settings that can be validated and provides a random seed.
type Settings interface {
	Check() error
	RandomSeed() uint64
}

// Box holds the current settings and the random source seeded from them.
type Box[T Settings] struct {
	mu      sync.Mutex
	current T
	random  *rand.Rand
	changed chan struct{}
}

// NewBox returns a Box that injects no faults.
func NewBox[T Settings]() *Box[T] {
	return &Box[T]{random: rand.New(rand.NewPCG(0, 0)), changed: make(chan struct{})}
}

// Get returns the current settings.
func (b *Box[T]) Get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Set validates and replaces the settings, and reseeds the random source.
func (b *Box[T]) Set(settings T) error {
	if err := settings.Check(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = settings
	b.random = rand.New(rand.NewPCG(settings.RandomSeed(), 0))
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed at the next change of the settings.
func (b *Box[T]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Chance returns true at random for the given fraction of calls.
func (b *Box[T]) Chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < fraction
}

// ServeHTTP returns the settings on GET and replaces them on PUT.
func (b *Box[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && !b.put(w, r) {
		return
	}
	reply.JSON(w, http.StatusOK, b.Get())
}

func (b *Box[T]) put(w http.ResponseWriter, r *http.Request) bool {
	body, status := reply.Body(w, r, 1<<16)
	if status != 0 {
		reply.Error(w, status, "the body can't be read")
		return false
	}
	var settings T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&settings)
	if err == nil {
		err = b.Set(settings)
	}
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

// Backend selects the faults that a backend server injects.
type Backend struct {
	// Fail is the fraction of requests answered with status 500.
	Fail float64 `json:"fail"`
	// StallMS delays the first byte of each run, which occupies its slot meanwhile.
	StallMS int64 `json:"stall_ms"`
	// CutAfterBytes closes each response's connection after this many bytes of its body; 0 means never.
	CutAfterBytes int64 `json:"cut_after_bytes"`
	// Seed seeds the random choice of the requests that fail.
	Seed uint64 `json:"seed"`
}

// Check returns an error if a setting is out of range.
func (f Backend) Check() error {
	if !Fraction(f.Fail) || f.StallMS < 0 || f.CutAfterBytes < 0 {
		return errors.New("fail must lie in 0..1, stall_ms and cut_after_bytes must not be negative")
	}
	return nil
}

// RandomSeed implements Settings.
func (f Backend) RandomSeed() uint64 { return f.Seed }

// Fraction reports whether x is in the range 0..1.
func Fraction(x float64) bool { return x >= 0 && x <= 1 }
