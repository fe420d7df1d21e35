// Package platform is the adapter to the platform: its key-value service with
// compare-and-swap, leases and watches, and its list of instances.
//
// Routers and sidecars call it. All durable state is stored in the platform and
// nowhere else.
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
	// ErrBusy means that the service rejected the call because of its rate limit.
	ErrBusy = errors.New("rate limited")
	// ErrCompacted means that the changes after a revision are no longer
	// available: the caller must list again.
	ErrCompacted = errors.New("history compacted")
	// ErrTooLarge means that the value exceeds the size limit of the service.
	ErrTooLarge = errors.New("value too large")
	// ErrUnknown means that the call got no usable answer and may have taken effect.
	ErrUnknown = errors.New("no answer")
)

// AnyVersion makes a Put unconditional.
const AnyVersion = ^uint64(0)

// Entry is one key with its value.
type Entry struct {
	Key string `json:"key"`
	// Value is at most 1 MiB.
	Value []byte `json:"value"`
	// Version of the last write to the key. Versions increase across the whole
	// store.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the key-value service. Implementations are safe for concurrent
// use.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the given version (0: the key must not
	// exist, AnyVersion: always) and returns the new version. lease may be empty.
	Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Delete removes the key if it has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the entries with the prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch returns the entries with the prefix that changed after the given
	// revision, waiting up to the timeout for one, and the revision to continue
	// from.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Entry, uint64, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew extends the lease, or returns ErrNotFound if it does not exist.
	Renew(ctx context.Context, lease string) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// Role is what an instance runs.
type Role string

// Roles in the instance list.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States in the instance list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which lags behind the
// actual state.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address at which other processes of the system reach the process, IP:port.
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	Service    string        `json:"service,omitempty"`
	State      InstanceState `json:"state"`
}

// Directory is the platform's list of instances.
type Directory interface {
	// Instances returns the list, which may be out of date.
	Instances(ctx context.Context) ([]Instance, error)
}
