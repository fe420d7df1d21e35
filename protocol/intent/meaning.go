package intent

import (
	"maps"
	"slices"
	"strconv"

	"goldcrestport/state/config"
)

// check returns what the schema cannot say, sorted by place.
func (in *Intent) check() Errors {
	c := checker{owners: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(in.Teams)) {
		c.team(in, name)
	}
	for _, name := range slices.Sorted(maps.Keys(in.Services)) {
		c.service(name, in.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(in.Operators)) {
		c.token("/operators/"+name, in.Operators[name])
	}
	return c.found
}

// checker collects faults. A bearer token names one team or one operator, so
// owners maps each digest to the place that has it.
type checker struct {
	found  Errors
	owners map[string]string
}

func (c *checker) add(path, text string) {
	c.found = append(c.found, Error{Path: path, Message: text})
}

func (c *checker) token(path, digest string) {
	if owner, taken := c.owners[digest]; taken {
		c.add(path, "the same token digest stands at "+owner)
		return
	}
	c.owners[digest] = path
}

func (c *checker) team(in *Intent, name string) {
	path := "/teams/" + name
	for i, digest := range in.Teams[name].Tokens {
		c.token(path+"/tokens/"+strconv.Itoa(i), digest)
	}
	for i, service := range in.Teams[name].Services {
		if _, known := in.Services[service]; !known {
			c.add(path+"/services/"+strconv.Itoa(i), "no such service: "+service)
		}
	}
}

func (c *checker) service(name string, s config.Service) {
	path := "/services/" + name
	if s.Kind == config.KindPlain {
		c.plain(path, s)
	}
	versions := map[string]string{}
	for i, m := range s.Models {
		if first, known := versions[m.Name]; known && first != m.Version {
			c.add(path+"/models/"+strconv.Itoa(i), "model "+m.Name+" stands with two versions: "+first+" and "+m.Version)
		}
		versions[m.Name] = m.Version
	}
}

// plain refuses what only an engine understands.
func (c *checker) plain(path string, s config.Service) {
	if len(s.Models) > 0 {
		c.add(path+"/models", "a plain service has no models")
	}
	if s.Role != "" {
		c.add(path+"/role", "a plain service has no role")
	}
	if s.ChecksFence {
		c.add(path+"/checks_fence", "a plain service gets no orders")
	}
}
