package load

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// Shapes of requests. The engine decides the generated length: half of the
// answers are shorter than an eighth of MaxTokens, with a long tail up to it.
const (
	longPromptBytes  = 4000
	shortPromptBytes = 200
	questionBytes    = 120
	// MaxTokens is the largest max_tokens of the workload.
	MaxTokens       = 320
	shortMaxTokens  = 96
	lightMaxTokens  = 48
	leastMaxTokens  = 8
	documentsByTeam = 6
	bytesByToken    = 4
	// MaxPromptTokens is the largest prompt of the workload, in tokens.
	MaxPromptTokens = (longPromptBytes + questionBytes) / bytesByToken
)

// chatBody is the part of a chat completion request that the callers send.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writer makes the requests of one caller, the same ones for the same seed.
type writer struct {
	team   Team
	rng    *rand.Rand
	scale  float64
	serial int
	name   string
}

// newWriter returns the writer of one caller. Tokens are divided by scale.
func newWriter(team Team, caller int, seed uint64, scale float64) *writer {
	name := fmt.Sprintf("%s/%d", team.Name, caller)
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return &writer{team: team, rng: rand.New(rand.NewPCG(seed, h.Sum64())), scale: scale, name: name}
}

// next returns the body of the caller's next request through a router.
func (w *writer) next(router int) ([]byte, error) {
	w.serial++
	if w.team.Kind == Plain {
		return []byte(fmt.Sprintf(`{"receipt":"%s-%d"}`, w.name, w.serial)), nil
	}
	prompt, tokens := shortPromptBytes, shortMaxTokens
	switch {
	case w.team.Kind == Light:
		tokens = lightMaxTokens
	case w.rng.Float64() < longPart[router]:
		prompt, tokens = longPromptBytes, MaxTokens
	}
	return json.Marshal(chatBody{
		Model:     ModelService,
		Stream:    true,
		MaxTokens: max(int(float64(tokens)/w.scale), leastMaxTokens),
		Messages: []chatMessage{
			{Role: "system", Content: w.document(prompt)},
			{Role: "user", Content: w.question()},
		},
	})
}

// document is a text that several requests of the team share.
func (w *writer) document(size int) string {
	title := fmt.Sprintf("%s deed %d of %d. ", w.team.Name, w.rng.IntN(documentsByTeam), size)
	return strings.Repeat(title, size/len(title)+1)[:size]
}

// question is different in each request.
func (w *writer) question() string {
	q := fmt.Sprintf("%s asks number %d: %016x ", w.name, w.serial, w.rng.Uint64())
	return strings.Repeat(q, questionBytes/len(q)+1)[:questionBytes]
}
