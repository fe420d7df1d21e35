package config

import "reflect"

// Patch is the difference between the contents of two documents. A nil value
// removes the name.
type Patch struct {
	Teams     map[string]*Team    `json:"teams,omitempty"`
	Services  map[string]*Service `json:"services,omitempty"`
	Operators map[string]*string  `json:"operators,omitempty"`
	// Drain replaces the whole list if it is present.
	Drain *[]string `json:"drain,omitempty"`
}

// Between returns the patch that turns the content of from into that of to.
func Between(from, to *Document) Patch {
	a, b := from.Content(), to.Content()
	p := Patch{
		Teams:     between(a.Teams, b.Teams),
		Services:  between(a.Services, b.Services),
		Operators: between(a.Operators, b.Operators),
	}
	if !reflect.DeepEqual(a.Drain, b.Drain) {
		drain := append([]string{}, b.Drain...)
		p.Drain = &drain
	}
	return p
}

func between[V any](from, to map[string]V) map[string]*V {
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

// Apply returns the content that the patch makes of the document.
func (p Patch) Apply(d *Document) *Document {
	c := d.Content()
	apply(c.Teams, p.Teams)
	apply(c.Services, p.Services)
	if c.Operators == nil {
		c.Operators = map[string]string{}
	}
	apply(c.Operators, p.Operators)
	if p.Drain != nil {
		c.Drain = *p.Drain
	}
	return c.Content()
}

func apply[V any](to map[string]V, patch map[string]*V) {
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
	return len(p.Teams) == 0 && len(p.Services) == 0 && len(p.Operators) == 0 && p.Drain == nil
}

// Equal reports whether two documents state the same.
func Equal(a, b *Document) bool { return Between(a, b).Empty() }
