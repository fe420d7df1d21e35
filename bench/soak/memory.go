package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	// mostMemory is the resident memory that a router may use, in bytes: half of the users' smallest machine, as
	// fleets here are small.
	mostMemory = 72 << 20
	// memoryInterval is the time between two looks at it.
	memoryInterval = 200 * time.Millisecond
)

// watchMemory records the greatest memory of each router until ctx is done.
func (w *World) watchMemory(ctx context.Context) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, r := range w.routers {
			used, err := r.Usage()
			if err != nil {
				// It is not running now.
				continue
			}
			w.Record.add(func() { w.Record.Memory[r.number] = max(w.Record.Memory[r.number], used.RSS) })
		}
	}
}

func tooMuchMemory(r *Record) []string {
	var out []string
	for router, most := range r.Memory {
		if most > mostMemory {
			out = append(out, fmt.Sprintf("router %d used %d MiB", router, most>>20))
		}
	}
	return out
}
