package config

// Revision is an immutable document with its encoded form.
type Revision struct {
	// Document is the configuration.
	Document Document
	// Body is the canonical JSON of Document.
	Body []byte
	// Hash is the content hash of Body.
	Hash string
}

// NewRevision returns the revision of doc.
func NewRevision(doc Document) (Revision, error) {
	body, hash, err := doc.Encode()
	if err != nil {
		return Revision{}, err
	}
	return Revision{Document: doc, Body: body, Hash: hash}, nil
}
