package rowrelay

// Nearby returns the proxies of this data centre that are in the directory, including
// this one if it is registered.
func (r *Relay) Nearby() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Peer
	for _, p := range r.peers {
		if p.DataCentre == r.Self.DataCentre {
			out = append(out, p)
		}
	}
	return out
}
