package plan

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
)

// signingContext prefixes the signed message, so that a signature over a plan is
// not valid for any other purpose.
const signingContext = "cranberrystage confirm v1"

// Approval is an operator's signed request to put a plan in force.
type Approval struct {
	// PlanID identifies the plan.
	PlanID string
	// Operator is the operator's declared name.
	Operator string
	// Signature is the Ed25519 signature over PlanID and Operator.
	Signature []byte
}

// Approve signs planID with the operator's key.
func Approve(planID, operator string, key ed25519.PrivateKey) Approval {
	return Approval{
		PlanID:    planID,
		Operator:  operator,
		Signature: ed25519.Sign(key, signedMessage(planID, operator)),
	}
}

func signedMessage(planID, operator string) []byte {
	return []byte(signingContext + "\n" + planID + "\n" + operator)
}

func (a Approval) encodedSignature() string {
	return base64.StdEncoding.EncodeToString(a.Signature)
}

// authorize checks the approval against the operators declared in the plan's
// base version. The very first plan has no base and is checked against the
// operators in its own document.
func (s Store) authorize(ctx context.Context, r Record, a Approval) error {
	hash := r.DocumentHash
	if r.BaseVersion > 0 {
		base, ok, err := s.headAt(ctx, r.BaseVersion)
		if err != nil {
			return err
		}
		if !ok {
			return staleBase(r.BaseVersion)
		}
		hash = base.Hash
	}
	doc, err := s.document(ctx, hash)
	if err != nil {
		return err
	}
	return a.verify(doc.Operators)
}

func (a Approval) verify(operators []config.Operator) error {
	for _, o := range operators {
		if o.Name != a.Operator {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			break
		}
		if ed25519.Verify(key, signedMessage(a.PlanID, a.Operator), a.Signature) {
			return nil
		}
	}
	return codes.New(codes.NotAuthorized, codes.NotRun, 0, "operator "+a.Operator)
}
