package partquarantine

// breadth counts the requests of each class since the first part became a suspect, and those with each of these
// parts: a refusal of a part that most requests of a class carry refuses most of the class.
type breadth struct {
	classes map[string]int
	parts   map[classPart]int
}

// classPart is a part in the requests of a class.
type classPart struct {
	class string
	part  Part
}

// maxBreadth bounds the entries of each map; beyond it, the counts restart.
const maxBreadth = 4096

func newBreadth() breadth {
	return breadth{classes: make(map[string]int), parts: make(map[classPart]int)}
}

func (b *breadth) reset() {
	clear(b.classes)
	clear(b.parts)
}

// countBreadth counts a request while parts are suspected.
func (s *State) countBreadth(class string, parts []Part) {
	if !s.isolating {
		return
	}
	b := &s.breadth
	if len(b.classes) >= maxBreadth || len(b.parts) >= maxBreadth {
		b.reset()
	}
	b.classes[class]++
	for _, p := range parts {
		if s.isSuspect(p) {
			b.parts[classPart{class, p}]++
		}
	}
}

// isBroad reports whether most requests of a class carry the part. Without any
// request since the first suspect, it is assumed.
func (s *State) isBroad(p Part) bool {
	if len(s.breadth.classes) == 0 {
		return true
	}
	for class, all := range s.breadth.classes {
		if 2*s.breadth.parts[classPart{class, p}] > all {
			return true
		}
	}
	return false
}
