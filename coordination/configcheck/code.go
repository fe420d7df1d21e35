package configcheck

// Code identifies the cause of a finding. Codes are stable; docs/CONFIGURATION.md lists
// them.
type Code string

// Codes of errors.
const (
	Refused        Code = "refused"
	NameMissing    Code = "name_missing"
	DuplicateName  Code = "duplicate_name"
	DuplicateKey   Code = "duplicate_key"
	EmptyKey       Code = "empty_key"
	OutOfRange     Code = "out_of_range"
	RouteHidden    Code = "route_hidden"
	RouteUnmatched Code = "route_unmatched"
	UnknownService Code = "unknown_service"
	WeightZero     Code = "weight_zero"
)

// Codes of warnings.
const (
	NoRoutes              Code = "no_routes"
	NoTeams               Code = "no_teams"
	PrefixWithoutSlash    Code = "prefix_without_slash"
	TeamWithoutKeys       Code = "team_without_keys"
	TeamWithoutServices   Code = "team_without_services"
	ServiceUnused         Code = "service_unused"
	HomesUnknown          Code = "homes_unknown"
	PrefixCovered         Code = "prefix_covered"
	ObjectiveAboveTimeout Code = "objective_above_timeout"
	AttemptsWithoutRepeat Code = "attempts_without_repeat"
	StreamSettingUnused   Code = "stream_setting_unused"
	EngineWithoutSlots    Code = "engine_without_slots"
	MemoryTooSmall        Code = "memory_too_small"
	TransferIncomplete    Code = "transfer_incomplete"
	ColdRateBelowOne      Code = "cold_rate_below_one"
	ColdRateWithoutTime   Code = "cold_rate_without_time"
	QueueBelowBody        Code = "queue_below_body"
)

// Rule is a code with its severity.
type Rule struct {
	Code     Code
	Severity Severity
}

// Rules returns all codes: errors first, in the order of the documentation.
func Rules() []Rule {
	var out []Rule
	for _, code := range errorCodes {
		out = append(out, Rule{Code: code, Severity: Error})
	}
	for _, code := range warningCodes {
		out = append(out, Rule{Code: code, Severity: Warning})
	}
	return out
}

var errorCodes = []Code{
	Refused, NameMissing, DuplicateName, DuplicateKey, EmptyKey, OutOfRange, RouteHidden, RouteUnmatched, UnknownService, WeightZero,
}

var warningCodes = []Code{
	NoRoutes, NoTeams, PrefixWithoutSlash, TeamWithoutKeys, TeamWithoutServices, ServiceUnused, HomesUnknown, PrefixCovered, ObjectiveAboveTimeout,
	AttemptsWithoutRepeat, StreamSettingUnused, EngineWithoutSlots, MemoryTooSmall, TransferIncomplete, ColdRateBelowOne, ColdRateWithoutTime,
	QueueBelowBody,
}

// severity returns the severity of the code.
func (c Code) severity() Severity {
	for _, code := range errorCodes {
		if code == c {
			return Error
		}
	}
	return Warning
}
