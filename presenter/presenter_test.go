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

func sample() editor.Document {
	return editor.Document{
		Operators: []string{"olga"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}},
		Models:    []editor.Model{{Name: "text", Versions: []editor.Version{{Name: "1", Weights: "w"}}}},
		Services:  []editor.Service{{Name: "briefing", Kind: editor.ServiceKindModel, Model: "text", Version: "1", Replicas: 2}},
		Policies:  []editor.Policy{{Name: "usual", FirstToken: editor.Duration(time.Second), TokenInterval: editor.Duration(time.Millisecond), MaxWait: editor.Duration(time.Second)}},
	}
}

// desk is an entry's pages over a store that holds the sample.
type desk struct {
	t     *testing.T
	store *emulator.Store
	mux   *http.ServeMux
}

func newDesk(t *testing.T) *desk {
	t.Helper()

	common := kernel.Discard("entry-1")
	store := emulator.NewStore()
	documents := publisher.NewPublisher(common, store)
	edits := editor.NewEditor(common, store, editor.WithWritten(func(revision keeper.Revision, value []byte) {
		_, err := documents.ApplyUpdate(revision, value)
		require.NoError(t, err)
	}))
	document := sample()
	require.Equal(t, editor.VerdictApplied, edits.Apply(t.Context(), editor.Edit{Operator: "olga", Document: &document}).Verdict)

	desk := &desk{t: t, store: store, mux: http.NewServeMux()}
	presenter.NewAPI(common, edits, documents).Register(desk.mux)
	presenter.NewConsole(common, edits, documents).Register(desk.mux)

	return desk
}

func (desk *desk) send(method, path, contentType, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(desk.t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", contentType)
	request.Header.Set(presenter.OperatorHeader, "olga")

	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}

	recorder := httptest.NewRecorder()
	desk.mux.ServeHTTP(recorder, request)

	return recorder
}

func (desk *desk) edit(body string, headers ...string) (int, editor.Result) {
	answer := desk.send(http.MethodPost, presenter.Path, "application/json", body, headers...)
	result := editor.Result{}
	_ = json.Unmarshal(answer.Body.Bytes(), &result)

	return answer.Code, result
}

func body(revision keeper.Revision, spoil func(document *editor.Document)) string {
	document := sample()
	spoil(&document)
	encoded, err := json.Marshal(presenter.EditRequest{Revision: revision, Document: document})
	if err != nil {
		panic(err)
	}

	return string(encoded)
}

func share(value int) func(document *editor.Document) {
	return func(document *editor.Document) { document.Firms[0].Share = value }
}

func TestInterfaceAnswersEachVerdictWithItsStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		desk := newDesk(t)

		for _, step := range []struct {
			name     string
			body     string
			headers  []string
			switches emulator.Switches
			status   int
			verdict  editor.Verdict
		}{
			{"no JSON", "{", nil, emulator.Switches{}, 422, editor.VerdictInvalid},
			{"unknown field", `{"Revison": 1}`, nil, emulator.Switches{}, 422, editor.VerdictInvalid},
			{"too large", strings.Repeat(" ", 2<<20), nil, emulator.Switches{}, 413, ""},
			{"fault", body(1, share(0)), nil, emulator.Switches{}, 422, editor.VerdictInvalid},
			{"no operator", body(1, share(2)), []string{presenter.OperatorHeader, ""}, emulator.Switches{}, 403, editor.VerdictForbidden},
			{"other's part", body(1, share(2)), []string{presenter.OperatorHeader, "nina"}, emulator.Switches{}, 403, editor.VerdictForbidden},
			{"other site", body(1, share(2)), []string{"Sec-Fetch-Site", "cross-site"}, emulator.Switches{}, 403, ""},
			{"service down", body(1, share(2)), nil, emulator.Switches{Outage: true}, 503, editor.VerdictUnavailable},
			{"applied", body(1, share(2)), nil, emulator.Switches{DropAnswers: 1}, 200, editor.VerdictApplied},
			{"same again", body(1, share(2)), nil, emulator.Switches{}, 200, editor.VerdictUnchanged},
			{"conflict", body(1, share(3)), nil, emulator.Switches{}, 409, editor.VerdictConflict},
			{"future", body(9, share(3)), nil, emulator.Switches{}, 409, editor.VerdictStale},
			{"never answered", body(2, share(4)), nil, emulator.Switches{DropAnswers: 99}, 503, editor.VerdictUnknown},
		} {
			desk.store.Faults.Set(step.switches)
			status, result := desk.edit(step.body, step.headers...)
			require.Equal(t, step.status, status, step.name)
			require.Equal(t, step.verdict, result.Verdict, step.name)
		}

		desk.store.Faults.Set(emulator.Switches{})
		history := []editor.Change{}
		require.NoError(t, json.Unmarshal(desk.send(http.MethodGet, presenter.Path+"/history", "", "").Body.Bytes(), &history))
		require.Len(t, history, 3)
		require.Equal(t, "Firms[north].Share", history[1].Differences[0].Field())
	})
}

var control = regexp.MustCompile(`name="([^"]+)" value="([^"]*)"`)

// open returns the values of a form as a browser without scripts sends them.
func (desk *desk) open(path string) url.Values {
	desk.t.Helper()

	page := desk.send(http.MethodGet, path, "", "").Body.String()
	values := url.Values{}

	for _, match := range control.FindAllStringSubmatch(page, -1) {
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

func (desk *desk) post(path string, values url.Values, headers ...string) (int, string) {
	answer := desk.send(http.MethodPost, path, "application/x-www-form-urlencoded", values.Encode(), headers...)

	return answer.Code, answer.Body.String()
}

func (desk *desk) document() editor.Document {
	desk.t.Helper()

	shown := presenter.Configuration{}
	require.NoError(desk.t, json.Unmarshal(desk.send(http.MethodGet, presenter.Path, "", "").Body.Bytes(), &shown))

	return *shown.Document
}

func TestFormShowsTheDifferenceBeforeItIsApplied(t *testing.T) {
	desk := newDesk(t)
	values := desk.open("/console/edit?Section=Services&Item=briefing")
	values.Set("Replicas", "5")

	status, page := desk.post("/console/review", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, page, "Services[briefing].Replicas")
	require.Equal(t, 2, desk.document().Services[0].Replicas)

	status, page = desk.post("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, page, "<strong>Applied</strong>")
	require.Equal(t, 5, desk.document().Services[0].Replicas)

	// A button pressed twice applies once.
	status, page = desk.post("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Contains(t, desk.send(http.MethodGet, "/console/history", "", "").Body.String(), "Services[briefing].Replicas")
}

func TestFormOfEachSectionChangesNothingUnlessEdited(t *testing.T) {
	desk := newDesk(t)

	for _, path := range []string{"Firms&Item=north", "Models&Item=text", "Services&Item=briefing", "Policies&Item=usual"} {
		status, page := desk.post("/console/review", desk.open("/console/edit?Section="+path))
		require.Equal(t, http.StatusOK, status, page)
		require.Contains(t, page, "nothing to apply", path)
	}

	values := desk.open("/console/edit?Section=Workspaces")
	values.Set("Name", "clinics")
	values.Set("Firm", "north")
	status, page := desk.post("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Equal(t, []editor.Workspace{{Name: "clinics", Firm: "north"}}, desk.document().Workspaces)

	values = desk.open("/console/edit?Section=Workspaces&Item=clinics")
	values.Set("Remove", "true")
	status, page = desk.post("/console/apply", values)
	require.Equal(t, http.StatusOK, status, page)
	require.Empty(t, desk.document().Workspaces)
}

func TestFaultsStandBesideTheirFields(t *testing.T) {
	desk := newDesk(t)
	values := desk.open("/console/edit?Section=Policies&Item=usual")
	values.Set("Reserve", "2")
	values.Set("MaxWait", "soon")

	status, page := desk.post("/console/review", values)
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Regexp(t, `(?s)name="MaxWait"[^>]*>\s*<p class="fault">“soon”: give a duration`, page)
	require.Contains(t, page, `name="MaxWait" value="soon"`, "what was typed is lost")
	require.Regexp(t, `(?s)name="Reserve"[^>]*>\s*<p class="fault">“2”: give a share from 0 to 1`, page, "not every fault at once")

	values.Set("MaxWait", "1s")
	_, page = desk.post("/console/review", values)
	require.Regexp(t, `(?s)name="Reserve"[^>]*>\s*<p class="fault">“2”: give a share from 0 to 1`, page)

	values = desk.open("/console/edit?Section=Models&Item=text")
	values.Set("Versions.0.Weights", "")
	_, page = desk.post("/console/review", values)
	require.Regexp(t, `(?s)name="Versions.0.Weights"[^>]*>\s*<p class="fault">`, page)
}

func TestConflictShowsBothValues(t *testing.T) {
	desk := newDesk(t)
	values := desk.open("/console/edit?Section=Firms&Item=north")
	status, _ := desk.edit(body(1, share(7)))
	require.Equal(t, http.StatusOK, status)

	values.Set("Share", "8")
	status, page := desk.post("/console/apply", values)
	require.Equal(t, http.StatusConflict, status)
	require.Regexp(t, `(?s)Firms\[north\].Share.*<code>1</code>.*<code>8</code>.*<code>7</code>`, page)
}

func TestPostsFromOtherSitesAreRefused(t *testing.T) {
	desk := newDesk(t)
	values := desk.open("/console/edit?Section=Firms&Item=north")
	values.Set("Share", "8")

	for _, headers := range [][]string{{"Sec-Fetch-Site", "cross-site"}, {"Origin", "https://elsewhere.example"}} {
		status, _ := desk.post("/console/apply", values, headers...)
		require.Equal(t, http.StatusForbidden, status)
	}

	require.Equal(t, 1, desk.document().Firms[0].Share)
}
