package trail

import "fmt"

// abandonedEvent reports that an attempt was abandoned after its first byte was written.
const abandonedEvent = "attempt_abandoned"

// abandonedSentence describes the abandoned attempt.
func abandonedSentence(l Line) string {
	return fmt.Sprintf("attempt %s at server %s (%s) was given up (%s) after %s ms; its first byte was written at %s, by knowledge %s ms old; the connection was %s with %s bytes not acknowledged, %s.",
		l["attempt"], l["server"], orUnknown(l["address"]), l["why"], l["after_ms"], orUnknown(l["began"]), l["knowledge_age_ms"], l["how"], l["unacked"], describeServer(l))
}

// describeServer describes the server when the attempt was abandoned: whether it had started to
// answer, and whether it was usable.
func describeServer(l Line) string {
	answered := "the answer had not begun"
	if l["answered"] == "true" {
		answered = "the answer had begun"
	}
	if l["usable"] == "true" {
		return answered + ", the server might get work"
	}
	return answered + ", the server was known to be gone or to leave"
}
