package config

// Tokens finds a team by its token in constant time. It belongs to one
// revision and is not changed after it was made, so that it may be read
// concurrently.
type Tokens struct {
	doc      *Document
	byDigest map[string]string
}

// NewTokens returns the index of the document's tokens. Where two teams share
// a digest, the team whose name sorts first has it.
func NewTokens(doc *Document) *Tokens {
	t := &Tokens{doc: doc, byDigest: map[string]string{}}
	for name, team := range doc.Teams {
		for _, digest := range team.Tokens {
			if holder, taken := t.byDigest[digest]; !taken || name < holder {
				t.byDigest[digest] = name
			}
		}
	}
	return t
}

// Document returns the document that the index belongs to.
func (t *Tokens) Document() *Document { return t.doc }

// Team returns the team that has a token with this digest.
func (t *Tokens) Team(digest string) (string, Team, bool) {
	name, ok := t.byDigest[digest]
	if !ok {
		return "", Team{}, false
	}
	return name, t.doc.Teams[name], true
}
