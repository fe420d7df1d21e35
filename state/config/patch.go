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
	// Evacuate does the same.
	Evacuate *[]string `json:"evacuate,omitempty"`
}

// Between returns the patch that turns the content of from into that of to.
func Between(from, to *Document) Patch {
	a, b := from.Content(), to.Content()
	p := Patch{
		Teams:     between(a.Teams, b.Teams),
		Services:  between(a.Services, b.Services),
		Operators: between(a.Operators, b.Operators),
	}
	p.Drain, p.Evacuate = replaced(a.Drain, b.Drain), replaced(a.Evacuate, b.Evacuate)
	return p
}

// replaced returns the list that takes the other one's place, nil if they are the
// same.
func replaced(from, to []string) *[]string {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	next := append([]string{}, to...)
	return &next
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
	if p.Evacuate != nil {
		c.Evacuate = *p.Evacuate
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
	return len(p.Teams) == 0 && len(p.Services) == 0 && len(p.Operators) == 0 && p.Drain == nil && p.Evacuate == nil
}

// Equal reports whether two documents state the same.
func Equal(a, b *Document) bool { return Between(a, b).Empty() }
