package presenter

import (
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/publisher"
)

//go:embed templates/*.html
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "templates/*.html"))

// maxFormBytes bounds a posted form.
const maxFormBytes = 1 << 20

// Console serves forms over the document. It works without scripts.
type Console struct {
	kernel.Common
	Editor    *editor.Editor
	Publisher *publisher.Publisher
}

// NewConsole returns the console's routes.
func NewConsole(common kernel.Common, edits *editor.Editor, documents *publisher.Publisher) *Console {
	return &Console{Common: common.ForPart("presenter"), Editor: edits, Publisher: documents}
}

// Register adds the pages to a mux. Posts from other sites are refused, as the
// operator's proxy adds the operator's name to whatever the browser sends.
func (console *Console) Register(mux *http.ServeMux) {
	protection := http.NewCrossOriginProtection()
	mux.HandleFunc("GET /console/{$}", console.overview)
	mux.HandleFunc("GET /console/edit", console.edit)
	mux.HandleFunc("GET /console/history", console.history)
	mux.Handle("POST /console/review", protection.Handler(http.HandlerFunc(console.review)))
	mux.Handle("POST /console/apply", protection.Handler(http.HandlerFunc(console.apply)))
}

// page is what every template is given.
type page struct {
	Title    string
	Instance string
	Operator string
	Revision keeper.Revision
	Sections []listing
	History  []editor.Change
	// Section, Name, Form and Mark belong to an edit; Values are the posted
	// ones, carried from the review to the application.
	Section string
	Name    string
	Form    form
	Mark    string
	Values  url.Values
	Result  editor.Result
	// Others are faults that belong to no control of the form.
	Others []classifier.Fault
}

type listing struct {
	Title   string
	Entries []entry
}

func (console *Console) page(request *http.Request, title string) page {
	return page{
		Title:    title,
		Instance: console.Instance,
		Operator: request.Header.Get(OperatorHeader),
		Revision: console.Publisher.Current().Revision,
	}
}

func (console *Console) overview(writer http.ResponseWriter, request *http.Request) {
	shown := console.page(request, "What should run")
	document := console.Publisher.Current().Index.Document

	for _, section := range sections {
		shown.Sections = append(shown.Sections, listing{Title: section.Title, Entries: section.list(document)})
	}

	console.render(writer, http.StatusOK, "overview.html", shown)
}

func (console *Console) history(writer http.ResponseWriter, request *http.Request) {
	shown := console.page(request, "History")

	record, _, err := console.Editor.Read(request.Context())
	if err != nil {
		shown.Result = editor.Result{Verdict: editor.VerdictUnavailable, Reason: "The history lies in the key-value service, which gave no answer. Come back in a few seconds."}
		console.render(writer, http.StatusServiceUnavailable, "history.html", shown)

		return
	}

	shown.History = record.History
	slices.Reverse(shown.History)
	console.render(writer, http.StatusOK, "history.html", shown)
}

func (console *Console) edit(writer http.ResponseWriter, request *http.Request) {
	current := console.Publisher.Current()

	section, found := findSection(request.FormValue("Section"))
	if !found {
		http.NotFound(writer, request)

		return
	}

	name := request.FormValue("Item")
	item, _ := section.find(current.Index.Document, name)
	shown := console.page(request, editTitle(section, name))
	shown.Section = section.Title
	shown.Name = name
	shown.Mark = editor.NewMark()
	shown.Form = newForm(item, choices(current.Index.Document), "", nil)
	console.render(writer, http.StatusOK, "edit.html", shown)
}

// review shows the difference that a posted form makes, or its faults.
func (console *Console) review(writer http.ResponseWriter, request *http.Request) {
	console.submit(writer, request, true)
}

// apply writes the edit that was reviewed.
func (console *Console) apply(writer http.ResponseWriter, request *http.Request) {
	console.submit(writer, request, false)
}

func (console *Console) submit(writer http.ResponseWriter, request *http.Request, dryRun bool) {
	request.Body = http.MaxBytesReader(writer, request.Body, maxFormBytes)
	if err := request.ParseForm(); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	section, found := findSection(request.PostForm.Get("Section"))
	revision, err := strconv.ParseUint(request.PostForm.Get("Revision"), 10, 64)

	if !found || err != nil {
		http.Error(writer, "The form names no section or revision. Begin again at the overview.", http.StatusBadRequest)

		return
	}

	shown := console.page(request, "Review")
	shown.Section = section.Title
	shown.Name = request.PostForm.Get("Item")
	shown.Mark = request.PostForm.Get("Mark")
	shown.Revision = keeper.Revision(revision)
	shown.Values = request.PostForm
	console.settle(writer, request, section, shown, dryRun)
}

func (console *Console) settle(writer http.ResponseWriter, request *http.Request, section section, shown page, dryRun bool) {
	document, item, faults, err := console.build(request.Context(), section, shown)
	if err != nil {
		shown.Result = editor.Result{Verdict: editor.VerdictUnavailable, Reason: "Nothing was written: " + err.Error() + ". Your values are kept in this page; send them again in a few seconds."}
		if errors.Is(err, errors.NotFound) {
			shown.Result = editor.Result{Verdict: editor.VerdictStale, Reason: "Nothing was written: the form was opened too long ago. Open it again."}
		}

		console.render(writer, status(shown.Result.Verdict), "review.html", shown)

		return
	}

	if len(faults) == 0 {
		shown.Result = console.Editor.Apply(request.Context(), editor.Edit{
			Operator: shown.Operator,
			Revision: shown.Revision,
			Document: document,
			Mark:     shown.Mark,
			DryRun:   dryRun,
		})
		faults = shown.Result.Faults
	}

	if len(faults) > 0 && shown.Result.Verdict != editor.VerdictForbidden && item != nil {
		prefix := fmt.Sprintf("%s[%s]", section.Title, request.PostForm.Get("Name"))
		shown.Title = editTitle(section, shown.Name)
		shown.Result = editor.Result{Verdict: editor.VerdictInvalid, Faults: faults}
		shown.Form = newForm(item, choices(document), prefix, faults)
		shown.Form.keep(shown.Values)
		shown.Others = otherFaults(faults, prefix)
		console.render(writer, http.StatusUnprocessableEntity, "edit.html", shown)

		return
	}

	console.render(writer, status(shown.Result.Verdict), "review.html", shown)
}

// build makes the document that the form describes from the revision it was
// opened at.
func (console *Console) build(ctx context.Context, section section, shown page) (*editor.Document, any, []classifier.Fault, error) {
	document, err := console.Editor.At(ctx, shown.Revision)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}

	if shown.Values.Get("Remove") != "" {
		section.put(document, shown.Name, nil)

		return document, nil, nil, nil
	}

	item, _ := section.find(document, shown.Name)
	faults := fill(item, shown.Values, fmt.Sprintf("%s[%s]", section.Title, shown.Values.Get("Name")))
	section.put(document, shown.Name, item)

	// The rest is checked too, so that the operator sees every fault at once.
	if len(faults) > 0 {
		faults = append(faults, faultsElsewhere(editor.Validate(document), faults)...)
	}

	return document, item, faults, nil
}

// faultsElsewhere returns the faults of fields that have none among the known.
func faultsElsewhere(found, known []classifier.Fault) []classifier.Fault {
	return slices.DeleteFunc(found, func(fault classifier.Fault) bool {
		return slices.ContainsFunc(known, func(other classifier.Fault) bool { return other.Field == fault.Field })
	})
}

func editTitle(section section, name string) string {
	if name == "" {
		return "Add to " + section.Title
	}

	return "Edit " + section.Title + ": " + name
}

// otherFaults returns the faults outside the item that the form shows.
func otherFaults(faults []classifier.Fault, prefix string) []classifier.Fault {
	others := []classifier.Fault{}

	for _, fault := range faults {
		if !strings.HasPrefix(fault.Field, prefix+".") {
			others = append(others, fault)
		}
	}

	return others
}

func (console *Console) render(writer http.ResponseWriter, status int, name string, shown page) {
	writer.Header().Set("Content-Type", "text/html; charset=utf-8")
	writer.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	writer.WriteHeader(status)

	if err := templates.ExecuteTemplate(writer, name, shown); err != nil {
		console.Log.WithError(err).Warn("A page was not sent whole.")
	}
}

func findSection(title string) (section, bool) {
	for _, section := range sections {
		if section.Title == title {
			return section, true
		}
	}

	return section{}, false
}

// describe joins names and values that are not empty.
func describe(pairs ...any) string {
	parts := []string{}

	for index := 0; index+1 < len(pairs); index += 2 {
		if text := strings.Trim(fmt.Sprint(pairs[index+1]), "[]"); text != "" {
			parts = append(parts, fmt.Sprintf("%v %s", pairs[index], text))
		}
	}

	return strings.Join(parts, ", ")
}
