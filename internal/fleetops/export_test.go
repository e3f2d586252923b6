package fleetops

// Visits is how many instances and operations the last round looked at to choose moves.
func Visits(s *State) int { return s.visits }
