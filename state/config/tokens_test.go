package config

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestTokens(t *testing.T) {
	c := quicktest.New(t)
	doc := &Document{Teams: map[string]Team{
		"b": {Share: 2, Tokens: []string{"1", "2"}},
		"a": {Share: 1, Tokens: []string{"2", "3"}},
	}}
	index := NewTokens(doc)
	for digest, want := range map[string]string{"1": "b", "2": "a", "3": "a"} {
		name, team, ok := index.Team(digest)
		c.Check(ok, quicktest.IsTrue)
		c.Check(name, quicktest.Equals, want)
		c.Check(team, quicktest.DeepEquals, doc.Teams[want])
	}
	_, _, ok := index.Team("")
	c.Check(ok, quicktest.IsFalse)
	c.Check(index.Document(), quicktest.Equals, doc)
}
