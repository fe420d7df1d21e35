package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

const (
	defaultTokens = 64
	maxTokens     = 1 << 20
)

// text is a message's content: a string, or the raw text of any other JSON value.
type text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(body []byte) error {
	var s string
	if json.Unmarshal(body, &s) != nil {
		s = string(body)
	}
	*t = text(s)
	return nil
}

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content text   `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Exact     bool `json:"gc_exact"`
}

// request is a parsed request and the values derived from it.
type request struct {
	chatBody
	id           string
	promptTokens int
	blocks       []string
	tokens       int // number of tokens to generate
	answerID     string
	random       *rand.Rand
}

func parseRequest(id string, body []byte) (*request, error) {
	q := &request{id: id}
	if err := json.Unmarshal(body, &q.chatBody); err != nil {
		return nil, err
	}
	if len(q.Messages) == 0 || q.MaxTokens < 0 || q.MaxTokens > maxTokens {
		return nil, errors.New("messages must not be empty, max_tokens must lie in 0..1048576")
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultTokens
	}
	var prompt strings.Builder
	for _, m := range q.Messages {
		prompt.WriteString(string(m.Content))
	}
	q.promptTokens, q.blocks = max(prompt.Len()/4, 1), BlockKeys(prompt.String())
	sum := sha256.Sum256(append([]byte(id+"\x00"), body...))
	q.answerID = "chatcmpl-" + hex.EncodeToString(sum[:12])
	q.random = rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:]), binary.BigEndian.Uint64(sum[8:])))
	q.tokens = q.MaxTokens
	if !q.Exact { // log-normal; the median is one eighth of max_tokens
		draw := float64(q.MaxTokens) / 8 * math.Exp(1.2*q.random.NormFloat64())
		q.tokens = int(min(max(draw, 1), float64(q.MaxTokens)))
	}
	return q, nil
}

// token returns the text of the next token. The first one includes the request ID.
func (q *request) token(i int) string {
	token := fmt.Sprintf(" %06x", q.random.Uint32()>>8)
	if i == 0 {
		return "[" + q.id + "]" + token
	}
	return token
}

func (q *request) finishReason() string {
	if q.tokens == q.MaxTokens {
		return "length"
	}
	return "stop"
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (q *request) usage(cached int) *usage {
	u := &usage{PromptTokens: q.promptTokens, CompletionTokens: q.tokens, TotalTokens: q.promptTokens + q.tokens}
	u.PromptTokensDetails.CachedTokens = cached
	return u
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // always 0, so that responses can be compared byte for byte
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (q *request) chunk(delta message, finish *string, tokenUsage *usage) []byte {
	body, _ := json.Marshal(answerBody{ // strings and numbers always encode
		ID: q.answerID, Object: "chat.completion.chunk", Model: q.Model, Usage: tokenUsage,
		Choices: []choice{{Delta: &delta, FinishReason: finish}},
	})
	return []byte("data: " + string(body) + "\n\n")
}

func (q *request) completion(content string, tokenUsage *usage) []byte {
	finish := q.finishReason()
	body, _ := json.Marshal(answerBody{
		ID: q.answerID, Object: "chat.completion", Model: q.Model, Usage: tokenUsage,
		Choices: []choice{{Message: &message{"assistant", content}, FinishReason: &finish}},
	})
	return append(body, '\n')
}
