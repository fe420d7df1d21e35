package prefix_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/prefix"
)

func TestOf(t *testing.T) {
	chat := func(before, text string) []byte {
		return []byte(`{` + before + `"messages":[{"role":"user","content":"` + text + `"}]}`)
	}
	deed := strings.Repeat("deed ", prefix.Length)
	same := prefix.Of(chat("", deed+"first question"))
	for name, test := range map[string]struct {
		body []byte
		want bool
	}{
		"another end":        {chat("", deed+"second question"), true},
		"other parameters":   {chat(`"max_tokens":9,`, deed+"third"), true},
		"another begin":      {chat("", "x"+deed), false},
		"too short":          {chat("", "hello"), false},
		"no chat completion": {[]byte(deed), false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prefix.Of(test.body) == same, qt.Equals, test.want)
		})
	}
	qt.Assert(t, same, qt.Not(qt.Equals), uint64(0))
	qt.Assert(t, prefix.Of([]byte("{}")), qt.Equals, uint64(0))
}
