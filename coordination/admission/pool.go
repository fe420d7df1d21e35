package admission

import (
	"time"

	"goldcrestport/coordination/enginememory"
	"goldcrestport/coordination/promptmix"
)

// pool holds the servers of one service.
type pool struct {
	servers []*server
	traits  Traits
	// runTime is the mean time from the first event of a run to its end.
	runTime time.Duration
	// reportsSlowdown is set once a server has reported how long work takes on its machine, and stays set.
	reportsSlowdown bool
	// mix measures how short prompts fare beside long ones.
	mix *promptmix.State
	// meanRun is the mean size of this router's runs.
	meanRun enginememory.Mean
}

// Traits describes the servers of a service.
type Traits struct {
	// Engine is set if the servers are inference engines.
	Engine bool
	// FetchRate is the number of prompt tokens per millisecond whose cache entries a
	// server can fetch from another server; 0: it cannot fetch.
	FetchRate float64
	// Memory is the capacity of an engine for prompts and generated text, in tokens; 0: unknown.
	Memory int
	// Objective is the shortest time to the first byte of an answer that any route
	// of the service requires; 0: unknown.
	Objective time.Duration
	// LongestObjective is the longest such time.
	LongestObjective time.Duration
}

// SetService sets the traits of the servers of a service.
func (s *State) SetService(service string, traits Traits) { s.pool(service).traits = traits }

// pool returns the pool of the service, adding it if necessary.
func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{runTime: initialRunTime, mix: promptmix.New(s.cfg.PromptMix)}
		s.pools[service] = p
	}
	return p
}

// initialRunTime is the mean run time that is assumed until runs have ended.
const initialRunTime = time.Second
