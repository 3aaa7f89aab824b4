package callers

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// Batch is one request: a simple query, or extended-protocol messages up to a
// Sync, which is left out.
type Batch struct {
	// Query is the text of a simple query; Messages is empty then.
	Query string
	// Messages are Parse, Bind, Describe, Execute and Close in order.
	Messages []pgproto3.FrontendMessage
	// Simple says that the request is a simple query.
	Simple bool
}

// add copies m, which the reader reuses, and returns its approximate size in bytes.
func (b *Batch) add(m pgproto3.FrontendMessage) int {
	switch m := m.(type) {
	case *pgproto3.Parse:
		v := *m
		b.Messages = append(b.Messages, &v)
		return len(v.Query) + len(v.Name) + 4*len(v.ParameterOIDs)
	case *pgproto3.Bind:
		v := copyBind(m)
		b.Messages = append(b.Messages, v)
		return bindSize(v)
	case *pgproto3.Describe:
		v := *m
		b.Messages = append(b.Messages, &v)
		return len(v.Name)
	case *pgproto3.Execute:
		v := *m
		b.Messages = append(b.Messages, &v)
		return len(v.Portal)
	case *pgproto3.Close:
		v := *m
		b.Messages = append(b.Messages, &v)
		return len(v.Name)
	}
	return 0
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	v := *m
	v.ParameterFormatCodes = append([]int16(nil), m.ParameterFormatCodes...)
	v.ResultFormatCodes = append([]int16(nil), m.ResultFormatCodes...)
	v.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		if p != nil {
			v.Parameters[i] = append([]byte{}, p...)
		}
	}
	return &v
}

func bindSize(m *pgproto3.Bind) int {
	n := len(m.DestinationPortal) + len(m.PreparedStatement)
	for _, p := range m.Parameters {
		n += len(p)
	}
	return n
}
