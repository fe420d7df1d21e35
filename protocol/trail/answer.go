package trail

import (
	"fmt"
	"strings"
)

// brokenEvent reports that a server broke an answer off.
const brokenEvent = "answer_broken"

// brokenSentence describes how the answer broke off.
func brokenSentence(l Line) string {
	return fmt.Sprintf("the answer of server %s (%s) to attempt %s broke off after %s ms: %s.",
		l["server"], orUnknown(l["address"]), l["attempt"], l["after_ms"], describeAnswer(l))
}

// endSentence describes how a request's last answer ended and how it was ended towards the
// caller. It returns an empty string if the line does not say.
func endSentence(l Line) string {
	if _, _, isEnd := strings.Cut(l["answer"], "/"); !isEnd {
		return ""
	}
	text := " The last answer: " + describeAnswer(l) + "."
	if l["told"] != "" {
		text += fmt.Sprintf(" The caller was told that it is %s, by %s.", describeCallerEnd(l["told"]), describeFraming(l["told_by"]))
	}
	return text
}

// answerEnds describes how the reading of an answer ended.
var answerEnds = map[string]string{
	"marked":   "its end was marked",
	"closed":   "its connection was closed",
	"reset":    "its connection was reset or lost",
	"invalid":  "bytes came that are no answer",
	"given-up": "the router gave it up",
}

// framings describes how the end of an answer's body is determined.
var framings = map[string]string{
	"none":       "no body",
	"length":     "a length",
	"chunks":     "chunks",
	"connection": "neither length nor chunks",
}

// serverReactions describes the server's reaction to a new connection after an ambiguous end.
var serverReactions = map[string]string{
	"takes":   " (the server took a connection right after)",
	"refuses": " (the server refused a connection right after)",
}

// describeAnswer describes how the answer was framed and ended, and how much of it arrived.
func describeAnswer(l Line) string {
	framing, end, _ := strings.Cut(l["answer"], "/")
	text := fmt.Sprintf("it came with %s, and after %s bytes %s", lookUp(framings, framing), l["answer_bytes"], lookUp(answerEnds, end)) + serverReactions[l["server_then"]]
	if l["events"] == "" || l["events"] == "0" && l["inside_event"] != "true" {
		return text
	}
	text += fmt.Sprintf(", after %s whole events (the last has id %q)", l["events"], l["last_event"])
	if l["inside_event"] == "true" {
		return text + " and inside a further one"
	}
	return text
}

func describeCallerEnd(end string) string {
	if end == "cut" {
		return "not whole"
	}
	return end
}

func describeFraming(framing string) string {
	if framing == "connection" {
		return "the end of its connection"
	}
	return lookUp(framings, framing)
}

func lookUp(texts map[string]string, name string) string {
	if text, known := texts[name]; known {
		return text
	}
	return orUnknown(name)
}
