package trail

import (
	"fmt"
	"slices"
)

// Events of lines about streams of services with several software versions.
const (
	streamBeganEvent   = "stream_began"
	streamResumedEvent = "stream_resumed"
)

// Origin returns the id of the caller's attempt that brought the first event of the stream
// which the request resumes, according to the lines about the request; empty for none.
func Origin(id string, lines []Line) string {
	for _, line := range lines {
		if line["request"] != id {
			continue
		}
		if line["resumes"] != "" && line["resumes"] != id {
			return line["resumes"]
		}
		if line["stream"] != "" && line["stream"] != id {
			return line["stream"]
		}
	}
	return ""
}

// Merge returns the lines of both, each once, sorted by time.
func Merge(a, b []Line) []Line {
	out := slices.Clone(a)
	for _, line := range b {
		if !slices.ContainsFunc(a, line.equals) {
			out = append(out, line)
		}
	}
	sortByTime(out)
	return out
}

// equals reports whether both are the same line of the same process.
func (l Line) equals(other Line) bool {
	return l["ts"] == other["ts"] && l["id"] == other["id"] && l["event"] == other["event"] && l["request"] == other["request"]
}

// beganSentence describes the start of a stream.
func beganSentence(l Line) string {
	return fmt.Sprintf("its first event came from server %s, of software version %s.", l["server"], orUnknown(l["software"]))
}

// resumedSentence describes what was decided about a stream that goes on.
func resumedSentence(l Line) string {
	by := "the caller came back for"
	if l["within"] == "true" {
		by = "the router went on with"
	}
	text := fmt.Sprintf("%s the stream of request %s after event %q, which %s; versions that serve: %s",
		by, orUnknown(l["stream"]), l["after"], knownSentence(l), orUnknown(l["versions"]))
	if l["recent"] != l["versions"] {
		text += fmt.Sprintf(" (lately %s)", orUnknown(l["recent"]))
	}
	text += fmt.Sprintf(", as of %s ms before", orUnknown(l["config_age_ms"]))
	if l["server"] == "" {
		return text + fmt.Sprintf("; it goes on nowhere: %s.", orUnknown(l["how"])) + doorSentence(l)
	}
	return text + fmt.Sprintf("; it goes on at server %s, of software version %s.", l["server"], orUnknown(l["software"])) + doorSentence(l)
}

// doorSentence says what the stream met on its way, and how new streams of its route fared; empty for
// lines of routers that do not tell.
func doorSentence(l Line) string {
	if l["door"] == "" {
		return ""
	}
	text := fmt.Sprintf(" Door: %s; %s of %s routers that were asked answered; %s servers of its version, %s usable, %s of these trusted",
		l["door"], l["answered"], l["asked"], l["servers"], l["servers_usable"], l["servers_trusted"])
	switch {
	case l["conflicting"] == "true":
		text += "; routers know different origins"
	case l["uncertain"] == "true":
		text += "; its origin is doubted"
	}
	return text + fmt.Sprintf(". On its route then: %s of %s new streams began, %s of %s resumed ones went on.", l["new_began"], l["new_came"], l["resumed_went_on"], l["resumed_came"])
}

// knownSentence says which version began a stream, and who knew it.
func knownSentence(l Line) string {
	if l["known_by"] == "" {
		return "nobody is known to have seen begin"
	}
	return fmt.Sprintf("began at software version %s (known by %s for %s ms)", orUnknown(l["began"]), l["known_by"], l["known_ms"])
}
