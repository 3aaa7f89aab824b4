package upstream

// maxStatements limits the prepared statements of one connection.
const maxStatements = 256

// Statements are the named prepared statements of one connection, ordered by
// their last use. They are guarded by exclusive use of the connection.
type Statements struct {
	used map[string]uint64
	next uint64
}

func newStatements() *Statements { return &Statements{used: make(map[string]uint64)} }

// Use reports whether the server holds the statement name, and marks it used.
func (s *Statements) Use(name string) bool {
	if !s.Holds(name) {
		return false
	}
	s.Add(name)
	return true
}

// Holds reports whether the server holds the statement name.
func (s *Statements) Holds(name string) bool {
	_, ok := s.used[name]
	return ok
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

// EvictionCandidate returns the least recently used statement, which is to be
// closed before another one is added. ok is false below the limit.
func (s *Statements) EvictionCandidate() (name string, ok bool) {
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
