package plan

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
)

// signingContext keeps a signature from being valid for anything else.
const signingContext = "cranberrystage confirm v1"

// Approval is an operator's signed wish to put a plan in force.
type Approval struct {
	// PlanID names the plan.
	PlanID string
	// Operator is the operator's declared name.
	Operator string
	// Signature is the Ed25519 signature over the two.
	Signature []byte
}

// Approve signs planID with the operator's key.
func Approve(planID, operator string, key ed25519.PrivateKey) Approval {
	return Approval{
		PlanID:    planID,
		Operator:  operator,
		Signature: ed25519.Sign(key, message(planID, operator)),
	}
}

func message(planID, operator string) []byte {
	return []byte(signingContext + "\n" + planID + "\n" + operator)
}

func (a Approval) encodedSignature() string {
	return base64.StdEncoding.EncodeToString(a.Signature)
}

// authorize checks the approval against the operators of the plan's base. The
// first plan of all is checked against its own document.
func (s Store) authorize(ctx context.Context, r Record, a Approval) error {
	hash := r.DocumentHash
	if r.BaseVersion > 0 {
		base, ok, err := s.historic(ctx, r.BaseVersion)
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
		if ed25519.Verify(key, message(a.PlanID, a.Operator), a.Signature) {
			return nil
		}
	}
	return codes.New(codes.NotAuthorized, codes.NotRun, 0, "operator "+a.Operator)
}
