// Package operator defines the messages of the operators' HTTP interface, which
// every router serves and goldcrestctl calls.
package operator

import (
	"encoding/json"
	"time"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/outcome"
)

// Paths of the interface.
const (
	PathPlan         = "/v1/plan"
	PathConfirm      = "/v1/confirm"
	PathSettle       = "/v1/settle"
	PathConfig       = "/v1/config"
	PathHistory      = "/v1/history"
	PathRollbackPlan = "/v1/rollback/plan"
	PathStatus       = "/v1/status"
)

// Reasons of problems that only the operators' interface reports.
const (
	ReasonBadIntent    outcome.Reason = "bad-intent"
	ReasonBadDigest    outcome.Reason = "digest-mismatch"
	ReasonStalePlan    outcome.Reason = "stale-plan"
	ReasonUnsettled    outcome.Reason = "unsettled"
	ReasonForgotten    outcome.Reason = "beyond-history"
	ReasonConfigLarge  outcome.Reason = "configuration-too-large"
	ReasonBusy         outcome.Reason = "router-busy"
	ReasonUnauthorized outcome.Reason = outcome.ReasonUnauthorized
)

// PlanRequest asks what an intent would change.
type PlanRequest struct {
	Intent json.RawMessage `json:"intent"`
	// BaseRevision, if present, must be the newest revision. A client that
	// derived the intent from a revision sets it, so that it can't undo changes
	// that others made in the meantime.
	BaseRevision *uint64 `json:"base_revision,omitempty"`
}

// PlanResponse is a plan with the intent that it would apply. goldcrestctl
// stores it in a plan file.
type PlanResponse struct {
	Plan   *plan.Plan     `json:"plan"`
	Intent *intent.Intent `json:"intent"`
}

// ConfirmRequest confirms exactly one plan. It includes the intent, so that any
// router can confirm a plan made by another one.
type ConfirmRequest struct {
	Intent       json.RawMessage `json:"intent"`
	BaseRevision uint64          `json:"base_revision"`
	Digest       string          `json:"digest"`
}

// Entry is one accepted revision.
type Entry struct {
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Summary  string    `json:"summary"`
}

// ConfirmResponse reports that the plan is in force.
type ConfirmResponse struct {
	Entry
	// Already says that the revision existed before this confirmation.
	Already bool `json:"already"`
	// Newest is the newest revision, which may be later than the plan's.
	Newest uint64 `json:"newest"`
}

// SettleState is the state of a plan with respect to the history of revisions.
type SettleState string

// States of a plan.
const (
	// SettleAccepted means that the plan became a revision.
	SettleAccepted SettleState = "accepted"
	// SettleNotAccepted means that the plan never becomes a revision.
	SettleNotAccepted SettleState = "not-accepted"
	// SettleOpen means that the plan isn't a revision and may still become one.
	SettleOpen SettleState = "open"
	// SettleForgotten means that the stored history doesn't reach back to the plan.
	SettleForgotten SettleState = "beyond-history"
)

// SettleResponse reports the state of a plan.
type SettleResponse struct {
	State SettleState `json:"state"`
	// Entry is the revision that the plan became, if it did.
	Entry  *Entry `json:"entry,omitempty"`
	Newest uint64 `json:"newest"`
}

// ConfigResponse is the newest configuration.
type ConfigResponse struct {
	Entry
	Intent *intent.Intent `json:"intent"`
	// InForce is the revision in force at the router that answers.
	InForce uint64 `json:"in_force"`
	// FromPlatform is false if the platform could not be reached, so that a
	// newer revision may exist.
	FromPlatform bool `json:"from_platform"`
}

// HistoryResponse lists revisions, the newest first.
type HistoryResponse struct {
	Entries []Entry `json:"entries"`
}

// RollbackRequest asks for a plan that restores the content of a revision.
type RollbackRequest struct {
	Revision uint64 `json:"revision"`
}

// Problem is a problem document for operators. Its outcome is "not-run" if
// nothing was changed and "unknown" if that can't be determined now.
type Problem struct {
	outcome.Problem
	// Errors lists all errors of the intent.
	Errors intent.Errors `json:"errors,omitempty"`
	// Newest revision, and the revisions accepted since the plan's base.
	Newest    uint64  `json:"newest,omitempty"`
	Meanwhile []Entry `json:"meanwhile,omitempty"`
}
