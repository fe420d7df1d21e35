package config

import "reflect"

// Patch is the difference between the contents of two documents. A nil map value
// deletes the entry.
type Patch struct {
	Teams     map[string]*Team    `json:"teams,omitempty"`
	Services  map[string]*Service `json:"services,omitempty"`
	Operators map[string]*string  `json:"operators,omitempty"`
	// Drain replaces the whole list if it is non-nil.
	Drain *[]string `json:"drain,omitempty"`
	// Evacuate replaces the whole list if it is non-nil.
	Evacuate *[]string `json:"evacuate,omitempty"`
}

// Between returns the patch that changes the content of from to that of to.
func Between(from, to *Document) Patch {
	a, b := from.Content(), to.Content()
	p := Patch{
		Teams:     diffMaps(a.Teams, b.Teams),
		Services:  diffMaps(a.Services, b.Services),
		Operators: diffMaps(a.Operators, b.Operators),
	}
	p.Drain, p.Evacuate = replacement(a.Drain, b.Drain), replacement(a.Evacuate, b.Evacuate)
	return p
}

// replacement returns the list to, or nil if both lists are equal.
func replacement(from, to []string) *[]string {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	next := append([]string{}, to...)
	return &next
}

func diffMaps[V any](from, to map[string]V) map[string]*V {
	out := map[string]*V{}
	for name := range from {
		if _, kept := to[name]; !kept {
			out[name] = nil
		}
	}
	for name, next := range to {
		if old, known := from[name]; !known || !reflect.DeepEqual(old, next) {
			out[name] = &next
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Apply returns the content of the document with the patch applied.
func (p Patch) Apply(d *Document) *Document {
	c := d.Content()
	applyChanges(c.Teams, p.Teams)
	applyChanges(c.Services, p.Services)
	if c.Operators == nil {
		c.Operators = map[string]string{}
	}
	applyChanges(c.Operators, p.Operators)
	if p.Drain != nil {
		c.Drain = *p.Drain
	}
	if p.Evacuate != nil {
		c.Evacuate = *p.Evacuate
	}
	return c.Content()
}

func applyChanges[V any](to map[string]V, patch map[string]*V) {
	for name, next := range patch {
		if next == nil {
			delete(to, name)
		} else {
			to[name] = *next
		}
	}
}

// Empty reports whether the patch changes nothing.
func (p Patch) Empty() bool {
	return len(p.Teams) == 0 && len(p.Services) == 0 && len(p.Operators) == 0 && p.Drain == nil && p.Evacuate == nil
}

// Equal reports whether two documents have the same content.
func Equal(a, b *Document) bool { return Between(a, b).Empty() }
