// Package rollout checks, with real processes, that engines come to hold what
// the configuration asks for, in waves and within the weight store's bound.
package rollout
