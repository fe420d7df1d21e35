package trail

import "fmt"

// abandonedEvent tells that an attempt was given up after its first byte was written.
const abandonedEvent = "attempt_abandoned"

// abandonedSentence says what the line tells of the attempt.
func abandonedSentence(l Line) string {
	return fmt.Sprintf("attempt %s at server %s (%s) was given up (%s) after %s ms; its first byte was written at %s, by knowledge %s ms old; the connection was %s with %s bytes not acknowledged, %s.",
		l["attempt"], l["server"], orUnknown(l["address"]), l["why"], l["after_ms"], orUnknown(l["began"]), l["knowledge_age_ms"], l["how"], l["unacked"], serverThen(l))
}

// serverThen says whether the server might get work when the attempt was given up, and had
// answered.
func serverThen(l Line) string {
	answered := "the answer had not begun"
	if l["answered"] == "true" {
		answered = "the answer had begun"
	}
	if l["usable"] == "true" {
		return answered + ", the server might get work"
	}
	return answered + ", the server was known to be gone or to leave"
}
