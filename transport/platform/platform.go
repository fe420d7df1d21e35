// Package platform is the adapter to the platform: its key-value service with
// compare-and-swap, leases and watches, and its list of instances.
//
// Routers and sidecars call it. What must last lives there and nowhere else.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Store. ErrUnknown is the only one after which a write may have
// taken effect.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the compare-and-swap found another version.
	ErrConflict = errors.New("version conflict")
	// ErrBusy means that the service refused the call because of its rate.
	ErrBusy = errors.New("rate limited")
	// ErrCompacted means that the changes after a revision are not known any
	// more: list again.
	ErrCompacted = errors.New("history compacted")
	// ErrTooLarge means that the value is larger than the service holds.
	ErrTooLarge = errors.New("value too large")
	// ErrUnknown means that no answer came: the call may have taken effect.
	ErrUnknown = errors.New("no answer")
)

// AnyVersion makes a Put unconditional.
const AnyVersion = ^uint64(0)

// Entry is one key with its value.
type Entry struct {
	Key string `json:"key"`
	// Value is at most 1 MiB.
	Value []byte `json:"value"`
	// Version of the last write to the key; versions rise store-wide.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the key-value service. Implementations are safe for concurrent
// use.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the version (0: must not exist,
	// AnyVersion: always) and returns the new version. lease may be empty.
	Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Delete removes the key if it has the version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the entries below the prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch returns the entries below the prefix changed after the revision,
	// waiting up to the timeout, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Entry, uint64, error)
	// Grant makes a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew keeps the lease alive or returns ErrNotFound.
	Renew(ctx context.Context, lease string) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
}

// Role of an instance.
type Role string

// Roles in the instance list.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the platform's view of an instance.
type InstanceState string

// States in the instance list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one line of the platform's list, which lags.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address of the process for other processes of the system, IP:port.
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	Service    string        `json:"service,omitempty"`
	State      InstanceState `json:"state"`
}

// Directory is the platform's list of instances.
type Directory interface {
	// Instances returns the list as of some time ago.
	Instances(ctx context.Context) ([]Instance, error)
}
