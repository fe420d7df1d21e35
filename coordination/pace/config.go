// Package pace estimates how fast inference engines prefill prompts: the rate of a service and that of each
// of its servers, from the times to first tokens.
//
// The load that it answers: a service has dozens of engines of unequal speed on machines that are shared
// with other work, and so many routers that one of them gets less than one answer per server and second.
// With one rate for all servers, work piles up at the slow ones, and the longest prompts miss their
// objective there by their own prefill. A server therefore begins at the rate of its service, and its own
// rate is learnt as evidence arrives, from this router and from the others.
//
// Servers may also report how long work takes on their machine at the moment. Such a report is used for a
// fraction of a second; observations are corrected by it, so that what is learnt is the usual pace.
//
// A State uses no clock, network or goroutine, and must be used by one goroutine at a time.
package pace

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Mode says for which services the estimate is used.
type Mode string

// Modes.
const (
	// Auto uses the estimate for services whose servers have reported their slowdown within
	// ReportingTTL.
	Auto Mode = "auto"
	// On uses it for all services of inference engines, Off for none.
	On  Mode = "on"
	Off Mode = "off"
)

// Config holds the parameters of a State.
type Config struct {
	// Mode says for which services the estimate is used. Default Auto.
	Mode Mode
	// Rate is the assumed prefill rate of a service before observations, in tokens per millisecond.
	// Default 66.
	Rate float64
	// Overhead is the assumed time to a first token without queue and prefill. Default 30ms.
	Overhead time.Duration
	// MinTokens is the smallest prefill that is observed: in shorter ones the network and the engine's
	// steps weigh as much. Default 2000.
	MinTokens float64
	// ShortTokens is the largest prefill, with what waits before it, from which the overhead is
	// estimated. Default 1000.
	ShortTokens float64
	// QueueShare is the largest queue before an observed run, in relation to its own prefill: what other
	// routers have sent becomes known late. Default 0.5.
	QueueShare float64
	// UncertainShare is the largest part of an observed prefill that may have been cached. Default 0.2.
	UncertainShare float64
	// Outlier limits by which factor one observation may differ from the estimate. Default 3.
	Outlier float64
	// LaterWeight is the weight of an observation above the estimate, where one below has 1: work that
	// is not known of can only lengthen a time. Default 0.3.
	LaterWeight float64
	// Decay is the time in which evidence loses most of its weight. The speed of a machine rarely
	// changes while its server runs. Default 60s.
	Decay time.Duration
	// ServicePrior is the weight of Rate, and ServerPrior that of the service's rate in the estimate
	// of one of its servers, in prompt tokens. Default 50000, and 20000, a few long prompts.
	ServicePrior float64
	ServerPrior  float64
	// MaxServiceEvidence and MaxServerEvidence limit the evidence in prompt tokens, so that newer
	// observations count when there are many. Default 2000000 and 200000.
	MaxServiceEvidence float64
	MaxServerEvidence  float64
	// MaxRatio limits how far a server differs from its service, either way. Default 4.
	MaxRatio float64
	// ReportTTL is the time after which a reported slowdown is not used any more; its weight falls
	// evenly until then. It changes several times a second. Default 400ms.
	ReportTTL time.Duration
	// ReportingTTL is how long a service counts as one whose servers report their slowdown after the
	// last such report. Default 1m.
	ReportingTTL time.Duration
	// Sharing holds the limits on what routers send each other.
	Sharing Sharing
}

// Sharing limits the reports that routers send each other.
type Sharing struct {
	// MinTokens is the new evidence, in prompt tokens, from which a server is in a report. Default 4000.
	MinTokens float64
	// MaxServers is the largest number of servers in one report. Default 12.
	MaxServers int
	// Interval is the shortest time between two reports. Default 1s.
	Interval time.Duration
	// Fanout is the number of routers that get a report; the next one goes to others. Default 32.
	Fanout int
	// BytesPerSecond limits what is sent, with the headers of the network. Default 1000.
	BytesPerSecond float64
	// Burst is the number of bytes that may be sent at once after a pause. Default 4000.
	Burst float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Mode:               Auto,
		Rate:               66,
		Overhead:           30 * time.Millisecond,
		MinTokens:          2000,
		ShortTokens:        1000,
		QueueShare:         0.5,
		UncertainShare:     0.2,
		Outlier:            3,
		LaterWeight:        0.3,
		Decay:              time.Minute,
		ServicePrior:       50_000,
		ServerPrior:        20_000,
		MaxServiceEvidence: 2_000_000,
		MaxServerEvidence:  200_000,
		MaxRatio:           4,
		ReportTTL:          400 * time.Millisecond,
		ReportingTTL:       time.Minute,
		Sharing: Sharing{
			MinTokens: 4000, MaxServers: 12, Interval: time.Second, Fanout: 32, BytesPerSecond: 1000, Burst: 4000,
		},
	}
}

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Mode == Auto || c.Mode == On || c.Mode == Off, "Pace.Mode must be auto, on or off")
	check(c.Rate > 0, "Pace.Rate must be positive")
	check(c.Overhead >= 0, "Pace.Overhead must not be negative")
	check(c.MinTokens > 0, "Pace.MinTokens must be positive")
	check(c.ShortTokens >= 0, "Pace.ShortTokens must not be negative")
	check(c.QueueShare >= 0, "Pace.QueueShare must not be negative")
	check(c.UncertainShare >= 0, "Pace.UncertainShare must not be negative")
	check(c.Outlier > 1, "Pace.Outlier must be above 1")
	check(c.LaterWeight > 0 && c.LaterWeight <= 1, "Pace.LaterWeight must be in (0, 1]")
	check(c.Decay > 0, "Pace.Decay must be positive")
	check(c.ServicePrior > 0 && c.ServerPrior > 0, "Pace.ServicePrior and Pace.ServerPrior must be positive")
	check(c.MaxServiceEvidence > 0 && c.MaxServerEvidence > 0, "Pace.MaxServiceEvidence and Pace.MaxServerEvidence must be positive")
	check(c.MaxRatio > 1, "Pace.MaxRatio must be above 1")
	check(c.ReportTTL > 0 && c.ReportingTTL > 0, "Pace.ReportTTL and Pace.ReportingTTL must be positive")
	check(c.Sharing.MinTokens > 0, "Pace.Sharing.MinTokens must be positive")
	check(c.Sharing.MaxServers > 0 && c.Sharing.MaxServers <= 255, "Pace.Sharing.MaxServers must be in [1, 255]")
	check(c.Sharing.Interval > 0, "Pace.Sharing.Interval must be positive")
	check(c.Sharing.Fanout > 0, "Pace.Sharing.Fanout must be positive")
	check(c.Sharing.BytesPerSecond > 0 && c.Sharing.Burst > 0, "Pace.Sharing.BytesPerSecond and Burst must be positive")
	return err
}
