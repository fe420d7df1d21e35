package admission

import "slices"

// isHome reports whether the server's region is in each list. A server of an unknown
// region is in none.
func (s *server) isHome(homes [][]string) bool {
	for _, regions := range homes {
		if s.region == "" || !slices.Contains(regions, s.region) {
			return false
		}
	}
	return true
}
