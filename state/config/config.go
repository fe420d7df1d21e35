// Package config defines the dynamic configuration that operators confirm: teams
// with their shares, services and the backend servers to drain.
//
// The document is stored in the platform's key-value service under one key
// and cached in memory by every process. Start-up settings are defined in
// protocol/settings.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// ServiceKind determines how a service is called and how cost is measured.
type ServiceKind string

const (
	// KindModel is a model engine; cost is measured in tokens.
	KindModel ServiceKind = "model"
	// KindPlain is a plain service; cost is measured in slot milliseconds.
	KindPlain ServiceKind = "plain"
)

// Document is one revision of the whole configuration.
type Document struct {
	// Revision increases by one with each accepted change.
	Revision uint64             `json:"revision"`
	Teams    map[string]Team    `json:"teams"`
	Services map[string]Service `json:"services"`
	// Drain lists the ids of backend servers that receive no new requests.
	Drain []string `json:"drain,omitempty"`
	// Evacuate lists the data centres whose backend servers receive no new
	// requests.
	Evacuate []string `json:"evacuate,omitempty"`
	// Operators maps an operator's name to the digest of the operator's token.
	Operators map[string]string `json:"operators,omitempty"`
	// PlanDigest is the digest of the plan that produced this revision.
	PlanDigest string `json:"plan_digest,omitempty"`
	// Accepted records who confirmed this revision and when.
	Accepted *Acceptance `json:"accepted,omitempty"`
	// Back is the patch that reverts this revision to the previous one.
	Back *Patch `json:"back,omitempty"`
}

// Acceptance is the record of a confirmed plan.
type Acceptance struct {
	// By is the operator's name.
	By string `json:"by"`
	// At is the confirmation time by the clock of the router that handled it.
	At time.Time `json:"at"`
	// Summary describes the changes in one line.
	Summary string `json:"summary"`
}

// Team is the configuration of one team.
type Team struct {
	// Share is the team's weight in each pool that it may use.
	Share float64 `json:"share"`
	// Tokens are hex SHA-256 digests of the team's bearer tokens.
	Tokens []string `json:"tokens"`
	// Services lists the services that the team may call.
	Services []string `json:"services"`
	// MaxQueued limits the queued requests per router; 0 for the default.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxQueuedBytes limits the queued bytes per router; 0 for the default.
	MaxQueuedBytes int64 `json:"max_queued_bytes,omitempty"`
}

// Service is the configuration of one service.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// NonIdempotent lists the path prefixes whose requests run at most once.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
	// MaxBody limits the size of a request body in bytes; 0 for the default.
	MaxBody int64 `json:"max_body,omitempty"`
	// Models lists the models that the backend servers must have loaded.
	Models []Model `json:"models,omitempty"`
	// ChecksFence reports whether the engines reject outdated fencing tokens.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Wave is the number of backend servers of the pool that may undergo a
	// capacity-reducing change at the same time; 0 means one.
	Wave int `json:"wave,omitempty"`
	// Role is the required role of the engines.
	Role string `json:"role,omitempty"`
}

// Model is one version of a model or adapter.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapter reports whether this is an adapter of a base model.
	Adapter bool `json:"adapter,omitempty"`
}

// TokenDigest returns the digest that represents a bearer token in the
// configuration.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Reaches reports whether the team may use the service.
func (t Team) Reaches(service string) bool {
	return slices.Contains(t.Services, service)
}

// TeamOf returns the team that has a token with this digest.
func (d *Document) TeamOf(digest string) (string, Team, bool) {
	for name, t := range d.Teams {
		if slices.Contains(t.Tokens, digest) {
			return name, t, true
		}
	}
	return "", Team{}, false
}

// OperatorOf returns the operator whose token has this digest.
func (d *Document) OperatorOf(digest string) (string, bool) {
	for name, configured := range d.Operators {
		if configured == digest {
			return name, true
		}
	}
	return "", false
}
