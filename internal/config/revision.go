package config

// Revision is a document with its encoded form. It is not changed once made.
type Revision struct {
	// Document is the configuration.
	Document Document
	// Body is the canonical JSON of Document.
	Body []byte
	// Hash is the content hash of Body.
	Hash string
}

// NewRevision encodes doc.
func NewRevision(doc Document) (Revision, error) {
	body, hash, err := doc.Encode()
	if err != nil {
		return Revision{}, err
	}
	return Revision{Document: doc, Body: body, Hash: hash}, nil
}
