package authenticator

import (
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

// Authenticator logs and counts refusals; see Decide for the decision.
type Authenticator struct {
	kernel.Common
}

// NewAuthenticator returns an authenticator.
func NewAuthenticator(common kernel.Common) *Authenticator {
	return &Authenticator{Common: common.ForPart("authenticator")}
}

// RecordRefusal logs and counts a request that was refused because of its keys. The fields must not
// contain a key.
func (authenticator *Authenticator) RecordRefusal(document *matcher.Document, keys []string, refusal Refusal, fields logrus.Fields) {
	authenticator.Metrics.Counter("unknown_keys").Inc(1)

	entry := authenticator.Log.WithFields(fields).WithFields(logrus.Fields{"Reason": string(refusal), "Version": document.Version})
	if len(keys) > 0 {
		entry = entry.WithField("KeyHash", matcher.ShortKeyHash(keys[0]))
	}

	entry.Info("Request refused because of its key.")
}
