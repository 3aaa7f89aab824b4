package declare

import (
	"crypto/ed25519"
	"encoding/base64"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/scramverifier"
)

// Promises, the service levels for which objectives can be declared.
const (
	PromiseAvailability = "availability"
	PromiseLatency      = "latency"
	PromiseAge          = "age"
	PromiseReplicaShare = "replica-share"
)

var promises = []string{PromiseAvailability, PromiseLatency, PromiseAge, PromiseReplicaShare}

func (v *validator) services(f file) {
	for i, s := range f.Services {
		field := at("services", i)
		v.databases(f, field+".databases", s)
		v.limits(f, field, s)
		v.intents(f, field+".intents", s.Intents)
		v.objectives(f, field+".objectives", s.Objectives)
	}
}

func (v *validator) databases(f file, field string, s config.Service) {
	if len(s.Databases) == 0 {
		v.add(f, field, "at least one database is needed")
	}
	for _, name := range sortedKeys(s.Databases) {
		group := s.Databases[name]
		path := field + "." + name
		if !namePattern.MatchString(name) {
			v.add(f, path, "want a name of letters, digits, '.', '_' and '-', have %q", name)
		}
		if !v.known(kindGroup, string(group)) {
			v.add(f, path, "unknown group %q", group)
			continue
		}
		if other, ok := v.usedBy[group]; ok {
			v.add(f, path, "group %q already serves database %q", group, other)
			continue
		}
		v.usedBy[group] = string(s.Name) + "/" + name
	}
}

func (v *validator) limits(f file, field string, s config.Service) {
	if s.Deadline <= 0 {
		v.add(f, field+".deadline", "must be longer than 0")
	}
	if s.QueueLimit < 1 {
		v.add(f, field+".queueLimit", "must be at least 1")
	}
	if s.Weight < 1 {
		v.add(f, field+".weight", "must be at least 1")
	}
}

func (v *validator) intents(f file, field string, intents []config.Intent) {
	seen := make(map[string]bool, len(intents))
	for i, in := range intents {
		path := at(field, i)
		if !namePattern.MatchString(in.Name) {
			v.add(f, path+".name", "want a name of letters, digits, '.', '_' and '-', have %q", in.Name)
		}
		if seen[in.Name] {
			v.add(f, path+".name", "duplicate intent %q", in.Name)
		}
		seen[in.Name] = true
		if in.MaxAge != nil && *in.MaxAge < 0 {
			v.add(f, path+".maxAge", "must not be negative")
		}
		if in.Deadline < 0 {
			v.add(f, path+".deadline", "must not be negative")
		}
	}
}

func (v *validator) objectives(f file, field string, objectives []config.Objective) {
	seen := make(map[string]bool, len(objectives))
	for i, o := range objectives {
		path := at(field, i)
		if !slices.Contains(promises, o.Promise) {
			v.add(f, path+".promise", "want one of %q, have %q", promises, o.Promise)
		}
		if seen[o.Promise] {
			v.add(f, path+".promise", "duplicate objective for %q", o.Promise)
		}
		seen[o.Promise] = true
		if o.Target <= 0 || o.Target >= 1 {
			v.add(f, path+".target", "must lie between 0 and 1, both excluded")
		}
		v.threshold(f, path+".threshold", o)
	}
}

func (v *validator) threshold(f file, field string, o config.Objective) {
	if o.Promise == PromiseLatency && o.Threshold <= 0 {
		v.add(f, field, "latency needs a threshold longer than 0")
	}
	if o.Promise != PromiseLatency && o.Threshold != 0 {
		v.add(f, field, "only latency takes a threshold")
	}
}

func (v *validator) users(f file) {
	for i, u := range f.Users {
		field := at("users", i)
		if u.Iterations < scramverifier.MinIterations {
			v.add(f, field+".iterations", "must be at least %d", scramverifier.MinIterations)
		}
		if _, err := scramverifier.Credentials(u); err != nil {
			v.add(f, field, "%s", err)
		}
		for j, s := range u.Services {
			if !v.known(kindService, string(s)) {
				v.add(f, at(field+".services", j), "unknown service %q", s)
			}
		}
	}
}

func (v *validator) operators(f file) {
	for i, o := range f.Operators {
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			v.add(f, at("operators", i)+".publicKey", "want the base64 of a %d-byte Ed25519 key", ed25519.PublicKeySize)
		}
	}
}
