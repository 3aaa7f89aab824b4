package confirm

import (
	"slices"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func leads(id string, term int) Server {
	return Server{ID: tables.UpstreamID(id), Answered: true, Status: statement.ServerStatus{Leads: true, Term: tables.Term(term)}}
}

func follows(id string, term int) Server {
	return Server{ID: tables.UpstreamID(id), Answered: true, Status: statement.ServerStatus{Term: tables.Term(term)}}
}

func held(id string, term, heldTerm int) Server {
	s := follows(id, term)
	s.Status.Held = tables.Term(heldTerm)
	return s
}

func silent(id string) Server { return Server{ID: tables.UpstreamID(id)} }

func ended(id string) Server { return Server{ID: tables.UpstreamID(id), Terminated: true} }

// withRecordsOf returns s with records of a term in its log.
func withRecordsOf(s Server, term int) Server {
	s.Status.Received = tables.Position{LogTerm: tables.Term(term), Index: 9}
	return s
}

func known(primary string, term int) tables.PrimaryRecord {
	return tables.PrimaryRecord{Primary: tables.UpstreamID(primary), Term: tables.Term(term)}
}

// step is a state of the servers that a replacement of p by n leaves behind at one
// of its steps.
type step struct {
	name string
	// p, n and r are the old primary, the server to promote and the other replica.
	p, n, r Server
	// promoted means that n leads.
	promoted bool
	// begun means that replicas are held, so that the replacement must be finished or
	// cancelled.
	begun bool
}

var steps = []step{
	{name: "none", p: leads("p", 1), n: follows("n", 1), r: follows("r", 1)},
	{name: "announced", p: leads("p", 1), n: follows("n", 1), r: follows("r", 1)},
	{name: "one held", p: leads("p", 1), n: held("n", 1, 2), r: follows("r", 1), begun: true},
	{name: "all held", p: leads("p", 1), n: held("n", 1, 2), r: held("r", 1, 2), begun: true},
	{name: "primary demoted", p: follows("p", 2), n: held("n", 1, 2), r: held("r", 1, 2), begun: true},
	{name: "took effect", p: follows("p", 2), n: leads("n", 2), r: follows("r", 2), promoted: true},
	{name: "took effect, old primary cut off", p: leads("p", 1), n: leads("n", 2), r: follows("r", 2), promoted: true},
}

// TestDecideForEveryStep covers each step of a replacement, with what the copy and
// the proxy's memory may still know of it, and with each server silent or ended.
func TestDecideForEveryStep(t *testing.T) {
	memories := map[string]tables.PrimaryRecord{
		"nothing known":           {},
		"never replaced":          known("p", 0),
		"old record":              known("p", 1),
		"announcement":            {Primary: "p", Term: 1, Replacing: true},
		"order":                   {Primary: "p", Term: 1, Replacing: true, Ordered: "n"},
		"record of the promotion": known("n", 2),
	}
	for _, s := range steps {
		for name, memory := range memories {
			if memory.Term == 2 && !s.promoted {
				continue // nobody can have recorded it
			}
			for _, lost := range []string{"", "p", "n", "r"} {
				for _, how := range []func(string) Server{silent, ended} {
					servers := []Server{s.p, s.n, s.r}
					for i := range servers {
						if string(servers[i].ID) == lost {
							servers[i] = how(lost)
						}
					}
					record, err := Decide(View{Known: memory, Servers: servers})
					checkDecision(t, s, servers, record, err, s.name+", "+name+", without "+lost)
				}
			}
		}
	}
}

// checkDecision checks that a decision names no server that may have been replaced,
// and leaves no hold behind.
func checkDecision(t *testing.T, s step, servers []Server, record tables.PrimaryRecord, err error, name string) {
	t.Helper()
	if err != nil {
		return // the group waits
	}
	if s.promoted {
		assert.Equal(t, record.Primary, tables.UpstreamID("n"), name)
		assert.Equal(t, record.Term, tables.Term(2), name)
		return
	}
	if record.Primary == "" {
		// Every server answered and none leads: all are held in the next replacement.
		assert.Assert(t, record.Replacing && s.begun, name)
		return
	}
	if record.Primary != "p" {
		// A demoted primary shows the term for which it was demoted. A server that has
		// ended may then have led that term; it is replaced in any case.
		i := slices.IndexFunc(servers, func(s Server) bool { return s.ID == record.Primary })
		assert.Assert(t, servers[i].Terminated && record.Term == 2, name)
		return
	}
	assert.Equal(t, record.Replacing, anyHeld(servers, "p"), name)
	assert.Equal(t, record.Ordered, tables.UpstreamID(""), name)
}

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		known   tables.PrimaryRecord
		servers []Server
		want    tables.PrimaryRecord
		err     string
	}{
		"primary leads":                       {known("p", 1), []Server{leads("p", 1), follows("r", 1)}, known("p", 1), ""},
		"never replaced":                      {tables.PrimaryRecord{}, []Server{leads("p", 1), follows("r", 1)}, known("p", 1), ""},
		"promotion was lost with the copy":    {known("p", 1), []Server{leads("p", 1), leads("n", 2), follows("r", 2)}, known("n", 2), ""},
		"new primary is silent, record known": {known("n", 2), []Server{leads("p", 1), silent("n"), follows("r", 1)}, known("n", 2), ""},
		"new primary is silent, record lost":  {known("p", 1), []Server{leads("p", 1), silent("n"), follows("r", 1)}, tables.PrimaryRecord{}, "n does not answer"},
		"replica is silent":                   {known("p", 1), []Server{leads("p", 1), silent("r")}, tables.PrimaryRecord{}, "r does not answer"},
		"replica has ended":                   {known("p", 1), []Server{leads("p", 1), ended("r")}, known("p", 1), ""},
		"primary has ended":                   {known("p", 1), []Server{ended("p"), follows("r", 1)}, known("p", 1), ""},
		"primary is silent":                   {known("p", 1), []Server{silent("p"), follows("r", 1)}, known("p", 1), ""},
		"leader of a newer term has ended":    {known("p", 1), []Server{leads("p", 1), ended("n"), follows("r", 2)}, known("n", 2), ""},
		"records of a newer term":             {known("p", 1), []Server{leads("p", 1), ended("n"), withRecordsOf(follows("r", 1), 2)}, known("n", 2), ""},
		"one of two may lead a newer term":    {known("p", 1), []Server{leads("p", 1), ended("n"), ended("m"), follows("r", 2)}, tables.PrimaryRecord{}, "[n m] do not answer and may have acknowledged commits together"},
		"nobody leads the newest term":        {known("p", 1), []Server{follows("p", 2), follows("r", 2)}, tables.PrimaryRecord{Term: 2, Replacing: true}, ""},
		"nobody has led since an earlier era": {tables.PrimaryRecord{Term: 2, Replacing: true}, []Server{follows("p", 2), follows("r", 2)}, tables.PrimaryRecord{Term: 2, Replacing: true}, ""},
		"nobody ever led":                     {tables.PrimaryRecord{}, []Server{follows("p", 0)}, tables.PrimaryRecord{}, "no server leads"},
		"no server":                           {known("p", 1), nil, tables.PrimaryRecord{}, "no server is known"},
		"primary and a replica have ended":    {known("p", 1), []Server{ended("p"), ended("r"), follows("n", 1)}, tables.PrimaryRecord{}, "[p r] do not answer and may have acknowledged commits together"},
		"two replicas have ended":             {known("p", 1), []Server{leads("p", 1), ended("n"), ended("r")}, tables.PrimaryRecord{}, "[n r] do not answer and may have acknowledged commits together"},
		"replica is held":                     {known("p", 1), []Server{leads("p", 1), held("r", 1, 2)}, tables.PrimaryRecord{Primary: "p", Term: 1, Replacing: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			record, err := Decide(View{Known: c.known, Servers: c.servers})
			if c.err != "" {
				assert.Error(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, record, c.want)
		})
	}
}

// With lease evidence the primary is known to lead, whatever the other servers say.
func TestEvidenceMakesUpForMissingAnswers(t *testing.T) {
	v := View{Known: known("p", 1), Proven: true, Servers: []Server{leads("p", 1), ended("n"), ended("r")}}
	record, err := Decide(v)
	assert.NilError(t, err)
	assert.Equal(t, record, known("p", 1))
	v.Servers[0] = silent("p")
	_, err = Decide(v)
	assert.Assert(t, err != nil, "the primary itself has to answer")
	v.Servers = []Server{leads("p", 1), leads("n", 2), silent("r")}
	_, err = Decide(v)
	assert.Error(t, err, "r does not answer")
}

func TestNewest(t *testing.T) {
	assert.Equal(t, Newest(known("p", 1), known("n", 2)), known("n", 2))
	assert.Equal(t, Newest(known("n", 2), known("p", 1)), known("n", 2))
	assert.Equal(t, Newest(tables.PrimaryRecord{}, known("p", 0)), known("p", 0))
	assert.Equal(t, Newest(known("p", 1), known("q", 1)), known("p", 1))
}

func TestNewestReceivedNeedsEveryServer(t *testing.T) {
	behind, ahead := withRecordsOf(follows("r", 1), 1), withRecordsOf(leads("n", 2), 2)
	position, ok := NewestReceived([]Server{behind, ahead})
	assert.Assert(t, ok)
	assert.Equal(t, position, ahead.Status.Received)
	_, ok = NewestReceived([]Server{behind, ahead, silent("p")})
	assert.Assert(t, !ok, "p may have acknowledged a commit together with another server")
	_, ok = NewestReceived([]Server{behind, ahead, ended("p")})
	assert.Assert(t, !ok, "the log of a member that ended may be needed")
	_, ok = NewestReceived(nil)
	assert.Assert(t, !ok)
}
