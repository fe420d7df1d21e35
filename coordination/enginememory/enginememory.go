// Package enginememory estimates whether a request fits into the memory of an inference engine, beside the
// requests that run there.
//
// It answers loads of long prompts that fill an engine's memory before its slots. An engine that runs out of
// memory preempts its newest run, also in the middle of its stream, and prefills it again from its start;
// the requests behind it wait for that. So a request should go to an engine with room, or be refused with
// a Retry-After. Engines evict cached parts of prompts in favour of runs, so these are not counted.
//
// What a router knows exactly is the prompts of its own runs. What they will generate, and what the runs of
// other routers occupy, is estimated, and counts with a discount: a wrong estimate must not refuse
// what the engine would serve.
//
// The package does no I/O and reads no clock. Direct routers use it, through coordination/admission.
package enginememory

import "github.com/cockroachdb/errors"

// Config holds the parameters of the estimate.
type Config struct {
	// Margin is the fraction by which estimated tokens are discounted: those still to be generated, and
	// those of the runs of other routers. Default 0.2.
	Margin float64
	// MeanGain is the weight of one observation, made at each start of a run, in the mean size of a run.
	// Default 0.02: the mean covers some tens of them, of all kinds of requests.
	MeanGain float64
	// LeastRuns is the number of runs that this router must have started before their mean size is used
	// for the runs of others. Default 20.
	LeastRuns int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config { return Config{Margin: 0.2, MeanGain: 0.02, LeastRuns: 20} }

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Margin >= 0 && c.Margin < 1, "Margin must be in [0, 1)")
	check(c.MeanGain > 0 && c.MeanGain <= 1, "MeanGain must be in (0, 1]")
	check(c.LeastRuns > 0, "LeastRuns must be positive")
	return err
}

// Part is a part of a prompt that other requests may share. An engine keeps it once.
type Part struct {
	ID     uint64
	Tokens int
}

// Need is what a run occupies, in tokens.
type Need struct {
	// Own is the part of the prompt that it shares with no other request, and Parts is the rest.
	Own   int
	Parts []Part
	// Output is the number of tokens that it is expected to generate.
	Output int
}

// TooLarge reports whether a prompt does not fit even into an empty engine: a run begins with its first
// generated token.
func TooLarge(memory, prompt int) bool { return memory > 0 && prompt+1 > memory }

// Use is what the runs of a server occupy, in tokens.
type Use struct {
	// Now is what the prompts occupy, and End what is occupied once all has been generated.
	Now, End int
}

// Ledger holds the runs of this router at one server. Invariant: the counts are the sums over the runs that
// were added and not removed. The zero value has none.
type Ledger struct {
	own, output int
	parts       map[uint64]*partUse
	partTokens  int
}

// partUse counts the runs with a part.
type partUse struct{ tokens, runs int }

// Add adds a run.
func (l *Ledger) Add(n Need) {
	l.own += n.Own
	l.output += n.Output
	for _, part := range n.Parts {
		use := l.parts[part.ID]
		if use == nil {
			if l.parts == nil {
				l.parts = make(map[uint64]*partUse)
			}
			use = &partUse{tokens: part.Tokens}
			l.parts[part.ID] = use
			l.partTokens += use.tokens
		}
		use.runs++
	}
}

// Remove removes a run that was added with the same need.
func (l *Ledger) Remove(n Need) {
	l.own -= n.Own
	l.output -= n.Output
	for _, part := range n.Parts {
		use := l.parts[part.ID]
		if use == nil {
			continue
		}
		if use.runs--; use.runs == 0 {
			l.partTokens -= use.tokens
			delete(l.parts, part.ID)
		}
	}
}

// Use returns what the runs occupy.
func (l *Ledger) Use() Use {
	now := l.own + l.partTokens
	return Use{Now: now, End: now + l.output}
}

// missing returns the tokens of the parts that no run has.
func (l *Ledger) missing(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if l.parts[part.ID] == nil {
			tokens += part.Tokens
		}
	}
	return tokens
}

// Others is what is known of the runs of other routers at a server.
type Others struct {
	Runs int
	// Mean is the mean size of a run in tokens; 0: unknown.
	Mean float64
}

// Fits reports whether the request fits into the memory beside the runs.
func (c Config) Fits(memory int, l *Ledger, others Others, n Need) bool {
	trust := 1 - c.Margin
	estimated := trust * (float64(l.output+n.Output) + float64(others.Runs)*others.Mean)
	known := l.own + l.partTokens + n.Own
	return float64(known+l.missing(n.Parts))+estimated <= float64(memory)
}

// Mean is the mean size of the runs of this router that have not ended, smoothed over the starts of runs and
// without the parts that they share: those of many runs count once. Long runs weigh as much as they do among
// the runs at a server. The zero value has none.
type Mean struct {
	// sum is the size of the runs that have not ended.
	sum, runs int
	started   int
	tokens    float64
}

// size is what the run occupies alone.
func (n Need) size() int { return n.Own + n.Output }

// Add adds a run that started.
func (m *Mean) Add(c Config, n Need) {
	m.sum += n.size()
	m.runs++
	m.started++
	// The first runs count alike, until the mean covers as many as MeanGain says.
	m.tokens += max(c.MeanGain, 1/float64(m.started)) * (float64(m.sum)/float64(m.runs) - m.tokens)
}

// Remove removes a run that ended.
func (m *Mean) Remove(n Need) {
	m.sum -= n.size()
	m.runs--
}

// Tokens returns the mean; 0 while too few runs have started.
func (m *Mean) Tokens(c Config) float64 {
	if m.started < c.LeastRuns {
		return 0
	}
	return m.tokens
}
