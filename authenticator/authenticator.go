package authenticator

import (
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

// Authenticator decides about the keys of requests, and logs and counts refusals.
type Authenticator struct {
	kernel.Common
}

// NewAuthenticator returns an authenticator.
func NewAuthenticator(common kernel.Common) *Authenticator {
	return &Authenticator{Common: common.ForPart("authenticator")}
}

// Check decides about the keys of a request. A refusal is logged with the fields, which must not
// contain a key.
func (authenticator *Authenticator) Check(document *matcher.Document, keys []string, exempt bool, fields logrus.Fields) Verdict {
	verdict := Decide(document, keys, exempt)
	if verdict.Refusal == "" {
		return verdict
	}

	authenticator.Metrics.Counter("unknown_keys").Inc(1)

	entry := authenticator.Log.WithFields(fields).WithFields(logrus.Fields{"Reason": string(verdict.Refusal), "Version": document.Version})
	if len(keys) > 0 {
		entry = entry.WithField("KeyHash", matcher.HashKey(keys[0]).Short())
	}

	entry.Info("Request refused because of its key.")

	return verdict
}
