package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
)

// retryAfter is the delay suggested to operators before they repeat a command
// that the platform did not answer.
const retryAfter = time.Second

// Store reads and writes plans, configuration documents and the head row.
type Store struct {
	// Tables is the table service with the head row and the history rows.
	Tables platform.Tables
	// Objects is the object store with plans and documents.
	Objects platform.Objects
}

// InForce is the configuration in force.
type InForce struct {
	// Head is the content of the head row; its Version is 0 if no configuration is
	// in force yet.
	Head config.Head
	// Document is the configuration.
	Document config.Document

	rowVersion uint64
}

// Current returns the configuration in force.
func (s Store) Current(ctx context.Context) (InForce, error) {
	cur, err := s.head(ctx)
	if err != nil || cur.Head.Version == 0 {
		return cur, err
	}
	cur.Document, err = s.document(ctx, cur.Head.Hash)
	return cur, err
}

// History returns the heads of all versions in ascending order of version.
func (s Store) History(ctx context.Context) ([]config.Head, error) {
	rows, err := s.Tables.List(ctx, config.HistoryPrefix)
	if err != nil {
		return nil, platformDown(err)
	}
	heads := make([]config.Head, 0, len(rows))
	for _, r := range rows {
		h, err := decodeHead(r)
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// Put stores a plan and its document under keys that Confirm derives from the plan id.
func (s Store) Put(ctx context.Context, p Plan, doc config.Document) error {
	body, hash, err := doc.Encode()
	if err != nil {
		return err
	}
	if hash != p.DocumentHash {
		return errors.New("the document is not the plan's")
	}
	if err := s.Objects.Put(ctx, config.ObjectPrefix+hash, body); err != nil {
		return platformDown(err)
	}
	if err := s.putDelta(ctx, p, doc); err != nil {
		return err
	}
	record, id, err := p.encode()
	if err != nil {
		return err
	}
	if err := s.Objects.Put(ctx, config.ObjectPrefix+id, record); err != nil {
		return platformDown(err)
	}
	return nil
}

// putDelta stores the delta from the document in force to doc, so that proxies
// need not load the whole document. The first document has no delta.
func (s Store) putDelta(ctx context.Context, p Plan, doc config.Document) error {
	cur, err := s.Current(ctx)
	if err != nil {
		return err
	}
	if cur.Head.Version == 0 || cur.Head.Version != p.BaseVersion {
		return nil
	}
	old, err := config.NewRevision(cur.Document)
	if err != nil {
		return err
	}
	new, err := config.NewRevision(doc)
	if err != nil {
		return err
	}
	body, err := config.Diff(old, new).Encode()
	if err != nil {
		return err
	}
	if err := s.Objects.Put(ctx, config.DeltaKey(old.Hash, new.Hash), body); err != nil {
		return platformDown(err)
	}
	return nil
}

func (s Store) record(ctx context.Context, id string) (Record, error) {
	body, err := s.Objects.Get(ctx, config.ObjectPrefix+id)
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, planUnknown(id)
	}
	if err != nil {
		return Record{}, platformDown(err)
	}
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, planUnknown(id)
	}
	// Documents are stored under the same prefix, so id may be the hash of a
	// document. Decoding that as a record gives a different id.
	if _, got, err := r.encode(); err != nil || got != id {
		return Record{}, planUnknown(id)
	}
	return r, nil
}

func (s Store) document(ctx context.Context, hash string) (config.Document, error) {
	body, err := s.Objects.Get(ctx, config.ObjectPrefix+hash)
	if err != nil {
		return config.Document{}, platformDown(err)
	}
	return config.Decode(body)
}

// head returns the head row in force without loading its document.
func (s Store) head(ctx context.Context) (InForce, error) {
	row, err := s.Tables.Get(ctx, config.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return InForce{}, nil
	}
	if err != nil {
		return InForce{}, platformDown(err)
	}
	h, err := decodeHead(row)
	return InForce{Head: h, rowVersion: row.Version}, err
}

// headAt returns the head of the given version from its history row; ok is false
// if that version never came into force.
func (s Store) headAt(ctx context.Context, version uint64) (h config.Head, ok bool, err error) {
	row, err := s.Tables.Get(ctx, historyKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return config.Head{}, false, nil
	}
	if err != nil {
		return config.Head{}, false, platformDown(err)
	}
	h, err = decodeHead(row)
	return h, err == nil, err
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", config.HistoryPrefix, version) }

func decodeHead(row platform.Row) (config.Head, error) {
	var h config.Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return config.Head{}, errors.Wrapf(err, "row %s", row.Key)
	}
	return h, nil
}

func platformDown(err error) error {
	return codes.New(codes.PlatformDown, codes.NotRun, retryAfter, err.Error())
}

func planUnknown(id string) error {
	return codes.New(codes.PlanUnknown, codes.NotRun, 0, id)
}
