// Package plan computes the effects of a configuration change, for an operator
// to review before confirming it.
//
// It is pure: the same two documents and the same facts give the same plan at
// every router. The driver is transport/operators; goldcrestctl renders the
// result.
//
// Routers with sidecars, their operators' interface and goldcrestctl use it.
package plan

import (
	"goldcrestport/state/config"
)

// Action is what a change does to a named part of the configuration.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Plan is the effect of replacing one revision by the next.
type Plan struct {
	// BaseRevision is the revision that the plan applies to.
	BaseRevision uint64 `json:"base_revision"`
	// Digest identifies the plan; see config.PlanDigest.
	Digest string `json:"digest"`
	// Summary is the plan in one line.
	Summary     string             `json:"summary"`
	Teams       []TeamChange       `json:"teams,omitempty"`
	Pools       []PoolChange       `json:"pools,omitempty"`
	Services    []ServiceChange    `json:"services,omitempty"`
	Backends    []BackendChange    `json:"backends,omitempty"`
	DataCentres []DataCentreChange `json:"data_centres,omitempty"`
	Operators   []OperatorChange   `json:"operators,omitempty"`
	// Refused lists the requests that the change causes to be refused.
	Refused []Note `json:"refused,omitempty"`
	// Warnings lists what the operator should check before confirming.
	Warnings []Note `json:"warnings,omitempty"`
}

// TeamChange is one team that the change names.
type TeamChange struct {
	Team        string  `json:"team"`
	Action      Action  `json:"action"`
	ShareBefore float64 `json:"share_before"`
	ShareAfter  float64 `json:"share_after"`
	// Pools holds the team's fraction of each pool that it uses or used.
	Pools []Fraction `json:"pools,omitempty"`
	// Gained and Lost are services.
	Gained []string `json:"gained,omitempty"`
	Lost   []string `json:"lost,omitempty"`
	// TokensAdded and TokensRemoved count bearer tokens.
	TokensAdded   int     `json:"tokens_added,omitempty"`
	TokensRemoved int     `json:"tokens_removed,omitempty"`
	Fields        []Field `json:"fields,omitempty"`
}

// Fraction is a team's fraction, from 0 to 1, of the capacity of a service's
// pool while every team of the pool has requests.
type Fraction struct {
	Service string  `json:"service"`
	Before  float64 `json:"before"`
	After   float64 `json:"after"`
}

// PoolChange is the effect on the teams that the change doesn't name.
type PoolChange struct {
	Service string `json:"service"`
	// Others is the number of teams that keep their share.
	Others int `json:"others"`
	// Factor is the ratio of their fraction of the pool after the change to
	// that before it.
	Factor float64 `json:"factor"`
}

// ServiceChange is one service that the change names.
type ServiceChange struct {
	Service string  `json:"service"`
	Action  Action  `json:"action"`
	Fields  []Field `json:"fields,omitempty"`
	// Backends are the ids of the service's backend servers.
	Backends []string `json:"backends,omitempty"`
}

// Field is one value that changes.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// BackendChange is one backend server that is drained or returned to service.
type BackendChange struct {
	Backend string `json:"backend"`
	// Service is empty if the backend server is not known.
	Service string `json:"service,omitempty"`
	Drained bool   `json:"drained"`
}

// DataCentreChange is one data centre that is evacuated or returned to service.
type DataCentreChange struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
}

// OperatorChange is one operator that the change names.
type OperatorChange struct {
	Operator string `json:"operator"`
	Action   Action `json:"action"`
}

// NoteCode is a stable identifier of the kind of a note.
type NoteCode string

// Codes of notes.
const (
	NoteServiceLost       NoteCode = "service-lost"
	NoteServiceRemoved    NoteCode = "service-removed"
	NoteTokenRemoved      NoteCode = "token-removed"
	NoteTeamRemoved       NoteCode = "team-removed"
	NoteBoundLowered      NoteCode = "bound-lowered"
	NoteBodyLowered       NoteCode = "body-lowered"
	NoteShareZero         NoteCode = "share-zero"
	NoteNoBackends        NoteCode = "no-backend-servers"
	NoteAllDrained        NoteCode = "all-drained"
	NoteUnknownBackend    NoteCode = "unknown-backend-server"
	NoteUnknownDataCentre NoteCode = "unknown-data-centre"
	NoteQueuedWork        NoteCode = "queued-work"
	NoteNoToken           NoteCode = "no-token"
	NoteNoFacts           NoteCode = "facts-missing"
)

// Note is one refusal or warning.
type Note struct {
	Code NoteCode `json:"code"`
	// Subject is the name of the team, service, backend server or data centre.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
}

// Backend is a backend server as known to the router that makes the plan.
type Backend struct {
	ID      string
	Service string
	// DataCentre is empty if it is not known.
	DataCentre string
}

// Queue is the number of queued requests of one team for one service.
type Queue struct {
	Team    string
	Service string
	Waiting int
}

// Facts is the known state of the running fleet. It adds warnings and names to
// a plan; the digest doesn't depend on it.
type Facts struct {
	Backends []Backend
	// Queues holds the queued requests of changed teams, with one entry per
	// router, team and service.
	Queues []Queue
	// UnresponsiveRouters counts the routers that did not report their queues.
	UnresponsiveRouters int
	// BackendsKnown is false if the instance list could not be read.
	BackendsKnown bool
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool {
	return len(p.Teams) == 0 && len(p.Services) == 0 && len(p.Backends) == 0 && len(p.DataCentres) == 0 && len(p.Operators) == 0
}

// Compare returns the plan that leads from base to next.
func Compare(base, next *config.Document, facts Facts) (*Plan, error) {
	digest, err := config.PlanDigest(base.Revision, next)
	if err != nil {
		return nil, err
	}
	c := newComparison(base, next, facts)
	c.plan.Digest = digest
	c.compareTeams()
	c.comparePools()
	c.compareServices()
	c.compareDataCentres()
	c.compareBackends()
	c.compareOperators()
	c.plan.Summary = summary(c.plan)
	return c.plan, nil
}
