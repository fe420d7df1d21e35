package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestport/bench/fleet"
)

// caller sends bounded load from this process.
type caller struct {
	http *http.Client
	// done counts whole answers, failed all others.
	done, failed atomic.Int64
}

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0, DisableCompression: true,
	}}}
}

// plain calls the plain service once.
func (c *caller) plain(ctx context.Context, r *fleet.Process, team string) {
	c.send(ctx, r, team, "/services/"+plainService+"/lookup", nil)
}

// chat is a streamed chat completion.
type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Exact     bool      `json:"gc_exact"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// stream asks for so many tokens and reads them all.
func (c *caller) stream(ctx context.Context, r *fleet.Process, team string, tokens int) {
	body, err := json.Marshal(chat{
		Model: modelService, Stream: true, MaxTokens: tokens, Exact: true,
		Messages: []message{{Role: "user", Content: "a short enquiry"}},
	})
	if err != nil {
		c.failed.Add(1)
		return
	}
	c.send(ctx, r, team, "/v1/chat/completions", body)
}

func (c *caller) send(ctx context.Context, r *fleet.Process, team, path string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Addr+path, bytes.NewReader(body))
	if err != nil {
		c.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+team)
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return
	}
	c.done.Add(1)
}

// closed keeps n calls going until ctx ends; wait returns when all are over.
func closed(ctx context.Context, n int, call func(i int)) (wait func()) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				call(i)
			}
		})
	}
	return wg.Wait
}

// paced starts calls at a rate until ctx ends, with a bound on those that are
// open at once.
func paced(ctx context.Context, perSecond float64, call func(i int)) (wait func()) {
	const maxOpen = 2000
	const every = 2 * time.Millisecond
	var wg sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	wg.Go(func() {
		begin, sent := time.Now(), 0
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			for due := int(time.Since(begin).Seconds() * perSecond); sent < due; sent++ {
				select {
				case open <- struct{}{}:
				default:
					continue
				}
				i := sent
				wg.Go(func() {
					defer func() { <-open }()
					call(i)
				})
			}
		}
	})
	return wg.Wait
}

func (c *caller) String() string {
	return fmt.Sprintf("%d answered, %d not", c.done.Load(), c.failed.Load())
}
