package upstream

// maxStatements bounds the prepared statements of one connection.
const maxStatements = 256

// Statements are the named prepared statements of one connection, ordered by
// their last use. It belongs to whoever holds the connection.
type Statements struct {
	used map[string]uint64
	next uint64
}

func newStatements() *Statements { return &Statements{used: make(map[string]uint64)} }

// Use reports whether the server holds the statement name, and marks it used.
func (s *Statements) Use(name string) bool {
	if _, ok := s.used[name]; !ok {
		return false
	}
	s.Add(name)
	return true
}

// Add records that the server holds the statement name.
func (s *Statements) Add(name string) {
	s.next++
	s.used[name] = s.next
}

// Remove records that the server may no longer hold the statement name.
func (s *Statements) Remove(name string) { delete(s.used, name) }

// Len returns how many statements the server holds.
func (s *Statements) Len() int { return len(s.used) }

// Surplus returns the statement to close before adding one more; ok is false
// while there is room.
func (s *Statements) Surplus() (name string, ok bool) {
	if len(s.used) < maxStatements {
		return "", false
	}
	oldest := s.next + 1
	for n, at := range s.used {
		if at < oldest {
			name, oldest = n, at
		}
	}
	return name, true
}
