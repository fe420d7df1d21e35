package trail

import (
	"fmt"
	"strings"
)

// brokenEvent tells that a server broke an answer off.
const brokenEvent = "answer_broken"

// brokenSentence says what the line tells of the answer.
func brokenSentence(l Line) string {
	return fmt.Sprintf("the answer of server %s (%s) to attempt %s broke off after %s ms: %s.",
		l["server"], orUnknown(l["address"]), l["attempt"], l["after_ms"], came(l))
}

// endSentence says how the last answer of a request ended and what its caller was told, or
// nothing when the line does not tell.
func endSentence(l Line) string {
	if _, _, isEnd := strings.Cut(l["answer"], "/"); !isEnd {
		return ""
	}
	text := " The last answer: " + came(l) + "."
	if l["told"] != "" {
		text += fmt.Sprintf(" The caller was told that it is %s, by %s.", told(l["told"]), by(l["told_by"]))
	}
	return text
}

// ends say how the reading of an answer ended.
var ends = map[string]string{
	"marked":   "its end was marked",
	"closed":   "its connection was closed",
	"reset":    "its connection was reset or lost",
	"invalid":  "bytes came that are no answer",
	"given-up": "the router gave it up",
}

// framings say how an answer tells where its body ends.
var framings = map[string]string{
	"none":       "no body",
	"length":     "a length",
	"chunks":     "chunks",
	"connection": "neither length nor chunks",
}

// signs say what a server showed after an end that says nothing.
var signs = map[string]string{
	"takes":   " (the server took a connection right after)",
	"refuses": " (the server refused a connection right after)",
}

// came says how the answer was framed and ended, and what came of it.
func came(l Line) string {
	framing, end, _ := strings.Cut(l["answer"], "/")
	text := fmt.Sprintf("it came with %s, and after %s bytes %s", named(framings, framing), l["answer_bytes"], named(ends, end)) + signs[l["server_then"]]
	if l["events"] == "" || l["events"] == "0" && l["inside_event"] != "true" {
		return text
	}
	text += fmt.Sprintf(", after %s whole events (the last has id %q)", l["events"], l["last_event"])
	if l["inside_event"] == "true" {
		return text + " and inside a further one"
	}
	return text
}

func told(what string) string {
	if what == "cut" {
		return "not whole"
	}
	return what
}

func by(framing string) string {
	if framing == "connection" {
		return "the end of its connection"
	}
	return named(framings, framing)
}

func named(names map[string]string, name string) string {
	if text, known := names[name]; known {
		return text
	}
	return orUnknown(name)
}
