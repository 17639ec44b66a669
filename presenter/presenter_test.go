package presenter_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/presenter"
	"limpetrail/publisher"
)

func sampleDocument() editor.Document {
	return editor.Document{
		Operators: []string{"olga"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}},
		Models:    []editor.Model{{Name: "text", Versions: []editor.Version{{Name: "1", Weights: "w"}}}},
		Services:  []editor.Service{{Name: "briefing", Kind: editor.ServiceKindModel, Model: "text", Version: "1", Replicas: 2}},
		Policies:  []editor.Policy{{Name: "usual", FirstToken: editor.Duration(time.Second), TokenInterval: editor.Duration(time.Millisecond), MaxWait: editor.Duration(time.Second)}},
	}
}

// fixture serves an entry's API and console over a store that holds sampleDocument.
type fixture struct {
	t     *testing.T
	store *emulator.Store
	mux   *http.ServeMux
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	common := kernel.NewDiscardCommon("entry-1")
	store := emulator.NewStore()
	documentPublisher := publisher.NewPublisher(common, store)
	documentEditor := editor.NewEditor(common, store, editor.WithRecordObserver(func(revision keeper.Revision, value []byte) {
		_, err := documentPublisher.ApplyUpdate(revision, value)
		require.NoError(t, err)
	}))
	document := sampleDocument()
	require.Equal(t, editor.VerdictApplied, documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Document: &document}).Verdict)

	fixture := &fixture{t: t, store: store, mux: http.NewServeMux()}
	presenter.NewAPI(common, documentEditor, documentPublisher).Register(fixture.mux)
	presenter.NewConsole(common, documentEditor, documentPublisher).Register(fixture.mux)

	return fixture
}

func (fixture *fixture) send(method, path, contentType, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(fixture.t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", contentType)
	request.Header.Set(presenter.OperatorHeader, "olga")

	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}

	recorder := httptest.NewRecorder()
	fixture.mux.ServeHTTP(recorder, request)

	return recorder
}

func (fixture *fixture) postEdit(body string, headers ...string) (int, editor.Result) {
	answer := fixture.send(http.MethodPost, presenter.ConfigurationPath, "application/json", body, headers...)
	result := editor.Result{}
	_ = json.Unmarshal(answer.Body.Bytes(), &result)

	return answer.Code, result
}

func editBody(revision keeper.Revision, change func(document *editor.Document)) string {
	document := sampleDocument()
	change(&document)
	encoded, err := json.Marshal(presenter.EditRequest{Revision: revision, Document: document})
	if err != nil {
		panic(err)
	}

	return string(encoded)
}

func setShare(value int) func(document *editor.Document) {
	return func(document *editor.Document) { document.Firms[0].Share = value }
}

func TestAPIAnswersEachVerdictWithItsStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)

		for _, step := range []struct {
			name     string
			body     string
			headers  []string
			switches emulator.FaultSwitches
			status   int
			verdict  editor.Verdict
		}{
			{"invalid JSON", "{", nil, emulator.FaultSwitches{}, 422, editor.VerdictInvalid},
			{"unknown field", `{"Revison": 1}`, nil, emulator.FaultSwitches{}, 422, editor.VerdictInvalid},
			{"too large", strings.Repeat(" ", 2<<20), nil, emulator.FaultSwitches{}, 413, ""},
			{"invalid value", editBody(1, setShare(0)), nil, emulator.FaultSwitches{}, 422, editor.VerdictInvalid},
			{"no operator", editBody(1, setShare(2)), []string{presenter.OperatorHeader, ""}, emulator.FaultSwitches{}, 403, editor.VerdictForbidden},
			{"field of other operators", editBody(1, setShare(2)), []string{presenter.OperatorHeader, "nina"}, emulator.FaultSwitches{}, 403, editor.VerdictForbidden},
			{"cross-site post", editBody(1, setShare(2)), []string{"Sec-Fetch-Site", "cross-site"}, emulator.FaultSwitches{}, 403, ""},
			{"key-value service down", editBody(1, setShare(2)), nil, emulator.FaultSwitches{Outage: true}, 503, editor.VerdictUnavailable},
			{"applied", editBody(1, setShare(2)), nil, emulator.FaultSwitches{DropAnswers: 1}, 200, editor.VerdictApplied},
			{"same edit again", editBody(1, setShare(2)), nil, emulator.FaultSwitches{}, 200, editor.VerdictUnchanged},
			{"conflict", editBody(1, setShare(3)), nil, emulator.FaultSwitches{}, 409, editor.VerdictConflict},
			{"revision that does not exist", editBody(9, setShare(3)), nil, emulator.FaultSwitches{}, 409, editor.VerdictStale},
			{"every answer lost", editBody(2, setShare(4)), nil, emulator.FaultSwitches{DropAnswers: 99}, 503, editor.VerdictUnknown},
		} {
			fixture.store.Faults.Set(step.switches)
			status, result := fixture.postEdit(step.body, step.headers...)
			require.Equal(t, step.status, status, step.name)
			require.Equal(t, step.verdict, result.Verdict, step.name)
		}

		fixture.store.Faults.Set(emulator.FaultSwitches{})
		history := []editor.Change{}
		require.NoError(t, json.Unmarshal(fixture.send(http.MethodGet, presenter.ConfigurationPath+"/history", "", "").Body.Bytes(), &history))
		require.Len(t, history, 3)
		require.Equal(t, "Firms[north].Share", history[1].Differences[0].Field())
	})
}

var controlPattern = regexp.MustCompile(`name="([^"]+)" value="([^"]*)"`)

// formValues opens a form and returns the values that a browser without JavaScript would
// post.
func (fixture *fixture) formValues(path string) url.Values {
	fixture.t.Helper()

	page := fixture.send(http.MethodGet, path, "", "").Body.String()
	values := url.Values{}

	for _, match := range controlPattern.FindAllStringSubmatch(page, -1) {
		if match[1] != "Remove" && match[1] != "Idempotent" {
			values.Set(match[1], match[2])
		}
	}

	for _, match := range regexp.MustCompile(`(?s)name="([^"]+)">(.*?)</select>`).FindAllStringSubmatch(page, -1) {
		if chosen := regexp.MustCompile(`selected>([^<]*)`).FindStringSubmatch(match[2]); chosen != nil {
			values.Set(match[1], chosen[1])
		}
	}

	for _, match := range regexp.MustCompile(`(?s)name="([^"]+)" rows="4">(.*?)</textarea>`).FindAllStringSubmatch(page, -1) {
		values.Set(match[1], match[2])
	}

	return values
}

func (fixture *fixture) postForm(path string, values url.Values, headers ...string) (int, string) {
	answer := fixture.send(http.MethodPost, path, "application/x-www-form-urlencoded", values.Encode(), headers...)

	return answer.Code, answer.Body.String()
}

func (fixture *fixture) document() editor.Document {
	fixture.t.Helper()

	current := presenter.Configuration{}
	require.NoError(fixture.t, json.Unmarshal(fixture.send(http.MethodGet, presenter.ConfigurationPath, "", "").Body.Bytes(), &current))

	return *current.Document
}

func TestReviewShowsDifferencesBeforeApply(t *testing.T) {
	fixture := newFixture(t)
	values := fixture.formValues("/console/edit?Section=Services&Item=briefing")
	values.Set("Replicas", "5")

	status, page := fixture.postForm("/console/review", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, page, "Services[briefing].Replicas")
	require.Equal(t, 2, fixture.document().Services[0].Replicas)

	status, page = fixture.postForm("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, page, "<strong>Applied</strong>")
	require.Equal(t, 5, fixture.document().Services[0].Replicas)

	// Posting the same form twice applies the edit once.
	status, page = fixture.postForm("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, fixture.send(http.MethodGet, "/console/history", "", "").Body.String(), "Services[briefing].Replicas")
}

func TestFormOfEachSectionChangesNothingUnlessEdited(t *testing.T) {
	fixture := newFixture(t)

	for _, path := range []string{"Firms&Item=north", "Models&Item=text", "Services&Item=briefing", "Policies&Item=usual"} {
		status, page := fixture.postForm("/console/review", fixture.formValues("/console/edit?Section="+path))
		require.Equal(t, http.StatusOK, status, page)
		require.Contains(t, page, "nothing to apply", path)
	}

	values := fixture.formValues("/console/edit?Section=Workspaces")
	values.Set("Name", "clinics")
	values.Set("Firm", "north")
	status, page := fixture.postForm("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Equal(t, []editor.Workspace{{Name: "clinics", Firm: "north"}}, fixture.document().Workspaces)

	values = fixture.formValues("/console/edit?Section=Workspaces&Item=clinics")
	values.Set("Remove", "true")
	status, page = fixture.postForm("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Empty(t, fixture.document().Workspaces)
}

func TestFaultsAreShownBesideTheirFields(t *testing.T) {
	fixture := newFixture(t)
	values := fixture.formValues("/console/edit?Section=Policies&Item=usual")
	values.Set("Reserve", "2")
	values.Set("MaxWait", "soon")

	status, page := fixture.postForm("/console/review", values)
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Regexp(t, `(?s)name="MaxWait"[^>]*>\s*<p class="fault">“soon”: give a duration`, page)
	require.Contains(t, page, `name="MaxWait" value="soon"`, "the typed text is lost")
	require.Regexp(t, `(?s)name="Reserve"[^>]*>\s*<p class="fault">“2”: give a share from 0 to 1`, page, "not all faults are shown at once")

	values.Set("MaxWait", "1s")
	_, page = fixture.postForm("/console/review", values)
	require.Regexp(t, `(?s)name="Reserve"[^>]*>\s*<p class="fault">“2”: give a share from 0 to 1`, page)

	values = fixture.formValues("/console/edit?Section=Models&Item=text")
	values.Set("Versions.0.Weights", "")
	_, page = fixture.postForm("/console/review", values)
	require.Regexp(t, `(?s)name="Versions.0.Weights"[^>]*>\s*<p class="fault">`, page)
}

func TestConflictShowsBothValues(t *testing.T) {
	fixture := newFixture(t)
	values := fixture.formValues("/console/edit?Section=Firms&Item=north")
	status, _ := fixture.postEdit(editBody(1, setShare(7)))
	require.Equal(t, http.StatusOK, status)

	values.Set("Share", "8")
	status, page := fixture.postForm("/console/apply", values)
	require.Equal(t, http.StatusConflict, status)
	require.Regexp(t, `(?s)Firms\[north\].Share.*<code>1</code>.*<code>8</code>.*<code>7</code>`, page)
}

func TestCrossSitePostsAreRefused(t *testing.T) {
	fixture := newFixture(t)
	values := fixture.formValues("/console/edit?Section=Firms&Item=north")
	values.Set("Share", "8")

	for _, headers := range [][]string{{"Sec-Fetch-Site", "cross-site"}, {"Origin", "https://elsewhere.example"}} {
		status, _ := fixture.postForm("/console/apply", values, headers...)
		require.Equal(t, http.StatusForbidden, status)
	}

	require.Equal(t, 1, fixture.document().Firms[0].Share)
}
