package admission

import "slices"

// isInRegions reports whether the server's region is in each list. A server of an
// unknown region is in none.
func (s *server) isInRegions(lists [][]string) bool {
	for _, regions := range lists {
		if s.region == "" || !slices.Contains(regions, s.region) {
			return false
		}
	}
	return true
}
