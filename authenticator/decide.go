package authenticator

import "limpetrail/matcher"

// Refusal is why a request's key was refused. It is empty if the request is served.
type Refusal string

// Refusals.
const (
	Missing  Refusal = "The request has no key."
	Repeated Refusal = "The request has more than one key."
	TooLong  Refusal = "The key is too long."
	Unknown  Refusal = "The key is not known."
)

// Verdict is the decision about a request's key.
type Verdict struct {
	// Workspace is the workspace of the key, or nil.
	Workspace *matcher.Workspace
	Refusal   Refusal
}

// Decide returns the verdict on the keys of a request, one for each header line that has one. A
// request without a known key is served without a workspace if it is exempt, or if the document
// requires no keys.
func Decide(document *matcher.Document, keys []string, exempt bool) Verdict {
	if !document.RequiresKeys() {
		return Verdict{}
	}

	verdict := identify(document, keys)
	if exempt {
		verdict.Refusal = ""
	}

	return verdict
}

func identify(document *matcher.Document, keys []string) Verdict {
	switch {
	case len(keys) == 0 || len(keys) == 1 && keys[0] == "":
		return Verdict{Refusal: Missing}
	case len(keys) > 1:
		return Verdict{Refusal: Repeated}
	case len(keys[0]) > matcher.MaxKeyBytes:
		return Verdict{Refusal: TooLong}
	}

	if workspace := document.WorkspaceOfKey(keys[0]); workspace != nil {
		return Verdict{Workspace: workspace}
	}

	return Verdict{Refusal: Unknown}
}
