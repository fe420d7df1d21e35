// Package config holds the live configuration that operators confirm: teams
// with their shares, services and the backend servers to drain.
//
// The document is stored in the platform's key-value service under one key
// and held in memory by every process. Start-up settings are elsewhere
// (protocol/settings).
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// ServiceKind says how a service is called and how its cost is counted.
type ServiceKind string

const (
	// KindModel is a model engine; cost is counted in tokens.
	KindModel ServiceKind = "model"
	// KindPlain is a plain service; cost is counted in milliseconds of a slot.
	KindPlain ServiceKind = "plain"
)

// Document is one revision of the whole configuration.
type Document struct {
	// Revision rises by one with each accepted change.
	Revision uint64             `json:"revision"`
	Teams    map[string]Team    `json:"teams"`
	Services map[string]Service `json:"services"`
	// Drain lists the ids of backend servers that get no new work.
	Drain []string `json:"drain,omitempty"`
	// Evacuate lists the data centres whose backend servers get no new work.
	Evacuate []string `json:"evacuate,omitempty"`
	// Operators maps an operator's name to the digest of the token.
	Operators map[string]string `json:"operators,omitempty"`
	// Digest of the plan that made this revision.
	PlanDigest string `json:"plan_digest,omitempty"`
	// Accepted says who confirmed this revision and when.
	Accepted *Acceptance `json:"accepted,omitempty"`
	// Back leads from this revision to the one before it.
	Back *Patch `json:"back,omitempty"`
}

// Acceptance is the record of a confirmed plan.
type Acceptance struct {
	// By is the operator's name.
	By string `json:"by"`
	// At is the time of the confirmation by the clock of the router asked.
	At time.Time `json:"at"`
	// Summary of the changes in one line.
	Summary string `json:"summary"`
}

// Team is one team's part of the configuration.
type Team struct {
	// Share is the weight of the team in each pool that it may use.
	Share float64 `json:"share"`
	// Tokens are hex SHA-256 digests of the team's bearer tokens.
	Tokens []string `json:"tokens"`
	// Services that the team may reach.
	Services []string `json:"services"`
	// MaxQueued bounds the requests that wait per router; 0 for the default.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxQueuedBytes bounds the bytes that wait per router; 0 for the default.
	MaxQueuedBytes int64 `json:"max_queued_bytes,omitempty"`
}

// Service is one service's part of the configuration.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// NonIdempotent lists path prefixes whose calls run at most once.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
	// MaxBody bounds a request body in bytes; 0 for the default.
	MaxBody int64 `json:"max_body,omitempty"`
	// Models that the backend servers have to hold.
	Models []Model `json:"models,omitempty"`
	// ChecksFence tells that the engines refuse an older fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Wave is how many backend servers of the pool may be changed at once in a
	// way that takes capacity away; 0 for one.
	Wave int `json:"wave,omitempty"`
	// Role that the engines have to play.
	Role string `json:"role,omitempty"`
}

// Model is a model or adapter in one version.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapter marks an adapter on top of a model.
	Adapter bool `json:"adapter,omitempty"`
}

// TokenDigest returns the digest under which a bearer token is configured.
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
	for name, own := range d.Operators {
		if own == digest {
			return name, true
		}
	}
	return "", false
}
