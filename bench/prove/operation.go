package prove

import (
	"fmt"
	"math/rand/v2"
)

// Paths of the plain service. Calls below pledgePath run at most once.
const (
	pledgePath  = "/pledges"
	receiptPath = "/receipts"
	chatPath    = "/v1/chat/completions"
	servicePath = "/services/" + plainService
)

// operation is what a caller wants done.
type operation struct {
	id            string
	team          string
	service       string
	path          string
	body          string
	key           string
	nonIdempotent bool
	stream        bool
}

// Bounds of an answer, in tokens.
const (
	minTokens  = 8
	moreTokens = 60
)

func chat(id, team string, stream bool, tokens int) operation {
	return operation{
		id: id, team: team, service: modelService, path: chatPath, stream: stream,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"gc_exact":true,"messages":[{"role":"user","content":"enquiry %s"}]}`,
			modelService, stream, tokens, id),
	}
}

func receipt(id, team string) operation {
	return operation{
		id: id, team: team, service: plainService, path: servicePath + receiptPath,
		body: fmt.Sprintf(`{"receipt":%q}`, id),
	}
}

func pledge(id, team, key string) operation {
	return operation{
		id: id, team: team, service: plainService, path: servicePath + pledgePath, key: key, nonIdempotent: true,
		body: fmt.Sprintf(`{"pledge":%q}`, id),
	}
}

// Parts of the mix of operations, out of 100.
const (
	partStream = 40
	partWhole  = 60
	partBare   = 72
	partKeyed  = 84
	partTwice  = 93
)

// mix makes the next operation of a caller.
type mix func(random *rand.Rand, id, team string) []operation

// drawOne makes the next operation, never the same pledge several times.
func drawOne(random *rand.Rand, id, team string) []operation {
	return draw(random, id, team)[:1]
}

// draw makes the next operation of a caller. More than one operation is
// returned when the same pledge is sent through several routers at once; the
// last of them is sent later.
func draw(random *rand.Rand, id, team string) []operation {
	tokens := minTokens + random.IntN(moreTokens)
	switch n := random.IntN(100); {
	case n < partStream:
		return []operation{chat(id, team, true, tokens)}
	case n < partWhole:
		return []operation{chat(id, team, false, tokens)}
	case n < partBare:
		return []operation{pledge(id, team, "")}
	case n < partKeyed:
		return []operation{pledge(id, team, "key-"+id)}
	case n < partTwice:
		return thrice(id, team)
	default:
		return []operation{receipt(id, team)}
	}
}

// thrice returns one pledge three times, with one key and the same body.
func thrice(id, team string) []operation {
	first := pledge(id, team, "key-"+id)
	out := make([]operation, 3)
	for i := range out {
		out[i] = first
		out[i].id = fmt.Sprintf("%s-%d", id, i)
	}
	return out
}
