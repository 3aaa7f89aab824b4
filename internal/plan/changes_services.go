package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

func compareServices(old, new []config.Service) []Change {
	var out []Change
	for _, p := range match(old, new, func(s config.Service) tables.ServiceID { return s.Name }) {
		switch {
		case p.same():
		case p.added():
			out = append(out, change(Added, "service "+string(p.new.Name), "The service opens with %d databases.", len(p.new.Databases)))
		case p.removed():
			out = append(out, change(Removed, "service "+string(p.old.Name), "The service closes; its callers are refused with code 102."))
		default:
			out = append(out, serviceFields(*p.old, *p.new)...)
		}
	}
	return out
}

func serviceFields(old, new config.Service) []Change {
	subject := "service " + string(new.Name)
	out := databases(subject, old.Databases, new.Databases)
	if old.Deadline != new.Deadline {
		out = append(out, change(Changed, subject, "The deadline changes from %s to %s.", time.Duration(old.Deadline), time.Duration(new.Deadline)))
	}
	if old.QueueLimit != new.QueueLimit {
		out = append(out, change(Changed, subject, "The queue limit changes from %d to %d.", old.QueueLimit, new.QueueLimit))
	}
	if old.Weight != new.Weight {
		out = append(out, change(Changed, subject, "The weight changes from %d to %d.", old.Weight, new.Weight))
	}
	out = append(out, intents(subject, old.Intents, new.Intents)...)
	out = append(out, objectives(subject, old.Objectives, new.Objectives)...)
	return out
}

func databases(subject string, old, new map[string]tables.GroupID) []Change {
	names := slices.AppendSeq(slices.Collect(maps.Keys(old)), maps.Keys(new))
	slices.Sort(names)
	var out []Change
	for _, name := range slices.Compact(names) {
		before, had := old[name]
		after, has := new[name]
		switch {
		case !had:
			out = append(out, change(Added, subject, "Database %s opens on group %s.", name, after))
		case !has:
			out = append(out, change(Removed, subject, "Database %s closes; it was on group %s.", name, before))
		case before != after:
			out = append(out, change(Changed, subject, "Database %s moves from group %s to %s; no data is copied.", name, before, after))
		}
	}
	return out
}

func intents(subject string, old, new []config.Intent) []Change {
	var out []Change
	for _, p := range match(old, new, func(in config.Intent) string { return in.Name }) {
		switch {
		case p.same():
		case p.added():
			out = append(out, change(Added, subject, "Intent %s: %s.", p.new.Name, describeIntent(*p.new)))
		case p.removed():
			out = append(out, change(Removed, subject, "Intent %s is refused from now on with code 101.", p.old.Name))
		default:
			out = append(out, change(Changed, subject, "Intent %s: %s; it was %s.", p.new.Name, describeIntent(*p.new), describeIntent(*p.old)))
		}
	}
	return out
}

func describeIntent(in config.Intent) string {
	text := "served by the primary"
	if in.MaxAge != nil {
		text = fmt.Sprintf("reads data of up to %s", time.Duration(*in.MaxAge))
	}
	if in.Idempotent {
		text += ", idempotent"
	} else {
		text += ", not idempotent"
	}
	if in.Deadline > 0 {
		text += fmt.Sprintf(", deadline %s", time.Duration(in.Deadline))
	}
	return fmt.Sprintf("%s, priority %d", text, in.Priority)
}

func objectives(subject string, old, new []config.Objective) []Change {
	var out []Change
	for _, p := range match(old, new, func(o config.Objective) string { return o.Promise }) {
		switch {
		case p.same():
		case p.added():
			out = append(out, change(Added, subject, "Objective %s: %s.", p.new.Promise, describeObjective(*p.new)))
		case p.removed():
			out = append(out, change(Removed, subject, "Objective %s is dropped.", p.old.Promise))
		default:
			out = append(out, change(Changed, subject, "Objective %s: %s; it was %s.", p.new.Promise, describeObjective(*p.new), describeObjective(*p.old)))
		}
	}
	return out
}

func describeObjective(o config.Objective) string {
	text := fmt.Sprintf("a share of %g", o.Target)
	if o.Threshold > 0 {
		text += fmt.Sprintf(" within %s", time.Duration(o.Threshold))
	}
	return text
}
