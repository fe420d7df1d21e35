package intent

import (
	"maps"
	"slices"
	"strconv"

	"goldcrestport/state/config"
)

// check returns the violations of rules that the schema cannot express, in a
// deterministic order.
func (in *Intent) check() Errors {
	c := checker{owners: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(in.Teams)) {
		c.checkTeam(in, name)
	}
	for _, name := range slices.Sorted(maps.Keys(in.Services)) {
		c.checkService(name, in.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(in.Operators)) {
		c.checkToken("/operators/"+name, in.Operators[name])
	}
	return c.errs
}

// checker collects validation errors. A bearer token identifies one team or one
// operator, so owners maps each digest to the path that uses it.
type checker struct {
	errs   Errors
	owners map[string]string
}

func (c *checker) add(path, text string) {
	c.errs = append(c.errs, Error{Path: path, Message: text})
}

func (c *checker) checkToken(path, digest string) {
	if owner, taken := c.owners[digest]; taken {
		c.add(path, "the same token digest stands at "+owner)
		return
	}
	c.owners[digest] = path
}

func (c *checker) checkTeam(in *Intent, name string) {
	path := "/teams/" + name
	for i, digest := range in.Teams[name].Tokens {
		c.checkToken(path+"/tokens/"+strconv.Itoa(i), digest)
	}
	for i, service := range in.Teams[name].Services {
		if _, known := in.Services[service]; !known {
			c.add(path+"/services/"+strconv.Itoa(i), "no such service: "+service)
		}
	}
}

func (c *checker) checkService(name string, s config.Service) {
	path := "/services/" + name
	if s.Kind == config.KindPlain {
		c.checkPlain(path, s)
	}
	versions := map[string]string{}
	for i, m := range s.Models {
		if first, known := versions[m.Name]; known && first != m.Version {
			c.add(path+"/models/"+strconv.Itoa(i), "model "+m.Name+" stands with two versions: "+first+" and "+m.Version)
		}
		versions[m.Name] = m.Version
	}
}

// checkPlain reports fields of a plain service that apply only to engines.
func (c *checker) checkPlain(path string, s config.Service) {
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
