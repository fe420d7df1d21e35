// Package faults holds the faults of a stand-in, which are set at run time over HTTP.
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

// Settings is a set of faults that can be checked and names its seed.
type Settings interface {
	Check() error
	RandomSeed() uint64
}

// Box holds the settings in force and the seeded chance that goes with them.
type Box[T Settings] struct {
	mu      sync.Mutex
	now     T
	random  *rand.Rand
	changed chan struct{}
}

// NewBox returns a box with no faults set.
func NewBox[T Settings]() *Box[T] {
	return &Box[T]{random: rand.New(rand.NewPCG(0, 0)), changed: make(chan struct{})}
}

// Get returns the settings in force.
func (b *Box[T]) Get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// Set replaces the settings and starts the chance anew from their seed.
func (b *Box[T]) Set(settings T) error {
	if err := settings.Check(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = settings
	b.random = rand.New(rand.NewPCG(settings.RandomSeed(), 0))
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that closes at the next change of the settings.
func (b *Box[T]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Chance is true for a fraction of the calls.
func (b *Box[T]) Chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < fraction
}

// ServeHTTP shows the settings on GET and replaces them on PUT.
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

// Backend is the set of faults of a backend server.
type Backend struct {
	// Fail is the fraction of requests answered with status 500.
	Fail float64 `json:"fail"`
	// StallMS is how long a run stands still while it holds its slot, before its first byte.
	StallMS int64 `json:"stall_ms"`
	// CutAfterBytes cuts each answer's connection after so many bytes of body; 0 cuts none.
	CutAfterBytes int64 `json:"cut_after_bytes"`
	// Seed starts the chance.
	Seed uint64 `json:"seed"`
}

// Check tells whether the settings make sense.
func (f Backend) Check() error {
	if !Fraction(f.Fail) || f.StallMS < 0 || f.CutAfterBytes < 0 {
		return errors.New("fail must lie in 0..1, stall_ms and cut_after_bytes must not be negative")
	}
	return nil
}

// RandomSeed returns the seed.
func (f Backend) RandomSeed() uint64 { return f.Seed }

// Fraction tells whether x lies in 0..1.
func Fraction(x float64) bool { return x >= 0 && x <= 1 }
