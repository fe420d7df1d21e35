package config

// Tokens is an index from token digests to teams with constant-time lookup. It
// belongs to one revision and is immutable, so it is safe for concurrent use.
type Tokens struct {
	doc      *Document
	byDigest map[string]string
}

// NewTokens returns the index of the document's tokens. Where two teams share
// a digest, the team whose name sorts first takes precedence.
func NewTokens(doc *Document) *Tokens {
	t := &Tokens{doc: doc, byDigest: map[string]string{}}
	for name, team := range doc.Teams {
		for _, digest := range team.Tokens {
			if owner, taken := t.byDigest[digest]; !taken || name < owner {
				t.byDigest[digest] = name
			}
		}
	}
	return t
}

// Document returns the indexed document.
func (t *Tokens) Document() *Document { return t.doc }

// Team returns the team that has a token with this digest.
func (t *Tokens) Team(digest string) (string, Team, bool) {
	name, ok := t.byDigest[digest]
	if !ok {
		return "", Team{}, false
	}
	return name, t.doc.Teams[name], true
}
