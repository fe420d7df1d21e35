package configcheck

import "strconv"

// Fields contains the names of the fields in the form in which a configuration was
// read, for the places of findings.
type Fields struct {
	Routes, Services, Teams, Limits string
	Route                           RouteFields
	Service                         ServiceFields
	Team                            TeamFields
	Limit                           LimitFields
}

// RouteFields contains the names of a route's fields.
type RouteFields struct {
	Name, Host, Prefix, Kind, Resumable, Timeout, Objective, Pause, Priority, Attempts, Public, Homes, Prompts string
	// Service is the field of a route's only target; Split lists several, each with
	// TargetService and TargetWeight.
	Service, Split, TargetService, TargetWeight string
}

// ServiceFields contains the names of a service's fields.
type ServiceFields struct {
	Name, HealthPath, Connections, ColdFor, ColdRate         string
	Engine, Slots, Memory, EventTokens, TokenBytes, LinkMbps string
}

// TeamFields contains the names of a team's fields.
type TeamFields struct{ Name, Keys, Priority, Homes string }

// LimitFields contains the names of the limits.
type LimitFields struct{ HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout, TokensPerSecond string }

// Input is a decoded configuration and the places of its entries.
type Input struct {
	Config *Configuration
	Fields Fields
	// Single reports for each route whether its only target was read from the field
	// Service instead of the list Split.
	Single []bool
}

// join returns the path of a field of the value at the place.
func join(place, field string) string { return place + "." + field }

// at returns the path of an element of a list.
func at(place string, i int) string { return place + "[" + strconv.Itoa(i) + "]" }

// target returns the place of a field of a route's target.
func (in *Input) target(route, i int, field string) string {
	f := in.Fields.Route
	place := at(in.Fields.Routes, route)
	if route < len(in.Single) && in.Single[route] {
		return join(place, f.Service)
	}
	return join(at(join(place, f.Split), i), field)
}
