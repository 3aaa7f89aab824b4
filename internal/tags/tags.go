// Package tags parses what callers declare about their requests: as startup
// parameters, by SET statements, or in an SQL comment in the sqlcommenter
// format. A request that declares nothing runs on the primary and is not
// idempotent.
package tags

import (
	"strconv"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
)

// Prefix starts the names of startup parameters and SET variables.
const Prefix = "cranberrystage."

// Names of the tags, without Prefix.
const (
	NameMaxAge     = "max_age"
	NameIdempotent = "idempotent"
	NameRequestID  = "request_id"
	NameDeadline   = "deadline"
	NameSession    = "session"
	NameIntent     = "intent"
	NamePriority   = "priority"
)

// Limits of declared values.
const (
	// MaxValueBytes limits the text of a value.
	MaxValueBytes = 4096
	// MaxPriority limits a priority to the range -MaxPriority to MaxPriority.
	MaxPriority = 100
)

// Fields is a set of tags.
type Fields uint8

// Members of Fields.
const (
	FieldMaxAge Fields = 1 << iota
	FieldIdempotent
	FieldRequestID
	FieldDeadline
	FieldSession
	FieldIntent
	FieldPriority
)

// Tags are the declarations of one connection or one statement.
type Tags struct {
	// MaxAge is the maximum age of the data that a read accepts; 0 requests the
	// newest data. nil means the primary.
	MaxAge *time.Duration
	// Idempotent says that running the request more than once does no harm.
	Idempotent bool
	// RequestID identifies the request in all its repeats.
	RequestID string
	// Deadline is the longest time the caller waits; 0 means no limit.
	Deadline time.Duration
	// Session is a session token or a session name.
	Session string
	// Intent names one of the service's routing intents.
	Intent string
	// Priority orders requests when slots are scarce; higher goes first.
	Priority int
	// Declared says which fields were declared, by name or through an intent.
	Declared Fields
}

// Has reports whether all of f were declared.
func (t *Tags) Has(f Fields) bool { return t.Declared&f == f }

// Known reports whether name, without Prefix, is a tag.
func Known(name string) bool {
	switch name {
	case NameMaxAge, NameIdempotent, NameRequestID, NameDeadline, NameSession, NameIntent, NamePriority:
		return true
	}
	return false
}

// Set sets one tag by its name without Prefix. An empty value of max_age
// declares the primary. The error is a *codes.Error with codes.BadTag.
func (t *Tags) Set(name, value string) error {
	if len(value) > MaxValueBytes {
		return badTag(name, "the value is too long")
	}
	switch name {
	case NameMaxAge:
		return t.setMaxAge(value)
	case NameIdempotent:
		return t.setIdempotent(value)
	case NameRequestID:
		t.RequestID = value
		t.Declared |= FieldRequestID
	case NameDeadline:
		return t.setDeadline(value)
	case NameSession:
		t.Session = value
		t.Declared |= FieldSession
	case NameIntent:
		t.Intent = value
		t.Declared |= FieldIntent
	case NamePriority:
		return t.setPriority(value)
	default:
		return badTag(name, "there is no such tag")
	}
	return nil
}

// SetParameter sets a tag from a startup parameter or SET variable. It reports
// whether the name starts with Prefix.
func (t *Tags) SetParameter(name, value string) (known bool, err error) {
	short, ok := strings.CutPrefix(name, Prefix)
	if !ok {
		return false, nil
	}
	return true, t.Set(short, value)
}

// Reset returns one tag, by its name without Prefix, to its value in initial. The
// error is a *codes.Error with codes.BadTag.
func (t *Tags) Reset(name string, initial Tags) error {
	field := FieldMaxAge
	switch name {
	case NameMaxAge:
		t.MaxAge = initial.MaxAge
	case NameIdempotent:
		t.Idempotent, field = initial.Idempotent, FieldIdempotent
	case NameRequestID:
		t.RequestID, field = initial.RequestID, FieldRequestID
	case NameDeadline:
		t.Deadline, field = initial.Deadline, FieldDeadline
	case NameSession:
		t.Session, field = initial.Session, FieldSession
	case NameIntent:
		t.Intent, field = initial.Intent, FieldIntent
	case NamePriority:
		t.Priority, field = initial.Priority, FieldPriority
	default:
		return badTag(name, "there is no such tag")
	}
	t.Declared = t.Declared&^field | initial.Declared&field
	return nil
}

func (t *Tags) setMaxAge(value string) error {
	t.Declared |= FieldMaxAge
	if value == "" {
		t.MaxAge = nil
		return nil
	}
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return badTag(NameMaxAge, "not a duration of 0s or more")
	}
	t.MaxAge = &age
	return nil
}

func (t *Tags) setIdempotent(value string) error {
	v, err := strconv.ParseBool(value)
	if err != nil {
		return badTag(NameIdempotent, "not true or false")
	}
	t.Idempotent = v
	t.Declared |= FieldIdempotent
	return nil
}

func (t *Tags) setDeadline(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return badTag(NameDeadline, "not a duration above 0s")
	}
	t.Deadline = d
	t.Declared |= FieldDeadline
	return nil
}

func (t *Tags) setPriority(value string) error {
	p, err := strconv.Atoi(value)
	if err != nil || p < -MaxPriority || p > MaxPriority {
		return badTag(NamePriority, "not a whole number from -100 to 100")
	}
	t.Priority = p
	t.Declared |= FieldPriority
	return nil
}

func badTag(name, text string) error {
	return codes.New(codes.BadTag, codes.NotRun, 0, strconv.Quote(name)+": "+text)
}

// Merge returns the connection's declarations overridden by the statement's.
// Where intents are used, each is resolved before the merge, so that a
// statement's intent overrides a connection's explicit tag.
func Merge(connection, statement Tags) Tags {
	out := connection
	out.Declared |= statement.Declared
	if statement.Has(FieldMaxAge) {
		out.MaxAge = statement.MaxAge
	}
	if statement.Has(FieldIdempotent) {
		out.Idempotent = statement.Idempotent
	}
	if statement.Has(FieldRequestID) {
		out.RequestID = statement.RequestID
	}
	if statement.Has(FieldDeadline) || out.Deadline == 0 {
		out.Deadline = statement.Deadline
	}
	if statement.Has(FieldSession) {
		out.Session = statement.Session
	}
	if statement.Has(FieldIntent) {
		out.Intent = statement.Intent
	}
	if statement.Has(FieldPriority) {
		out.Priority = statement.Priority
	}
	return out
}

// Resolve fills in the named intent, where one is declared, and the service's
// deadline where none is. Explicit tags win over the intent's. An intent
// without a max_age declares the primary.
func (t Tags) Resolve(service config.Service) (Tags, error) {
	if t.Intent != "" {
		intent, ok := findIntent(service, t.Intent)
		if !ok {
			return t, badTag(NameIntent, "the service has no intent "+strconv.Quote(t.Intent))
		}
		t = Merge(fromIntent(intent), t)
	}
	if t.Deadline == 0 {
		t.Deadline = time.Duration(service.Deadline)
	}
	return t, nil
}

func findIntent(service config.Service, name string) (config.Intent, bool) {
	for _, in := range service.Intents {
		if in.Name == name {
			return in, true
		}
	}
	return config.Intent{}, false
}

func fromIntent(in config.Intent) Tags {
	t := Tags{
		Idempotent: in.Idempotent,
		Priority:   in.Priority,
		Declared:   FieldMaxAge | FieldIdempotent | FieldPriority,
	}
	if in.MaxAge != nil {
		age := time.Duration(*in.MaxAge)
		t.MaxAge = &age
	}
	if in.Deadline > 0 {
		t.Deadline = time.Duration(in.Deadline)
		t.Declared |= FieldDeadline
	}
	return t
}
