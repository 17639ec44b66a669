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

// maxFormBytes limits the size of a posted form.
const maxFormBytes = 1 << 20

// Console serves HTML forms to view and edit the document. It works without JavaScript.
type Console struct {
	kernel.Common
	Editor    *editor.Editor
	Publisher *publisher.Publisher
}

// NewConsole returns the console's routes.
func NewConsole(common kernel.Common, edits *editor.Editor, documents *publisher.Publisher) *Console {
	return &Console{Common: common.ForPart("presenter"), Editor: edits, Publisher: documents}
}

// Register adds the pages to a mux. Cross-site posts are refused, as the proxy adds the
// operator's name to any request that the browser sends.
func (console *Console) Register(mux *http.ServeMux) {
	protection := http.NewCrossOriginProtection()
	mux.HandleFunc("GET /console/{$}", console.overview)
	mux.HandleFunc("GET /console/edit", console.edit)
	mux.HandleFunc("GET /console/history", console.history)
	mux.Handle("POST /console/review", protection.Handler(http.HandlerFunc(console.review)))
	mux.Handle("POST /console/apply", protection.Handler(http.HandlerFunc(console.apply)))
}

// page is the data passed to every template.
type page struct {
	Title    string
	Instance string
	Operator string
	Revision keeper.Revision
	Sections []sectionListing
	History  []editor.Change
	// Section, Name, Form and Mark belong to an edit. Values are the posted form values,
	// which the review page posts again to apply the edit.
	Section string
	Name    string
	Form    form
	Mark    string
	Values  url.Values
	Result  editor.Result
	// Others are the faults of fields outside the item that the form shows.
	Others []classifier.Fault
}

// sectionListing is one section on the overview page.
type sectionListing struct {
	Title   string
	Entries []itemSummary
}

func (console *Console) newPage(request *http.Request, title string) page {
	return page{
		Title:    title,
		Instance: console.Instance,
		Operator: request.Header.Get(OperatorHeader),
		Revision: console.Publisher.Current().Revision,
	}
}

func (console *Console) overview(writer http.ResponseWriter, request *http.Request) {
	data := console.newPage(request, "What should run")
	document := console.Publisher.Current().Index.Document

	for _, section := range sections {
		data.Sections = append(data.Sections, sectionListing{Title: section.Title, Entries: section.list(document)})
	}

	console.render(writer, http.StatusOK, "overview.html", data)
}

func (console *Console) history(writer http.ResponseWriter, request *http.Request) {
	data := console.newPage(request, "History")

	record, _, err := console.Editor.Read(request.Context())
	if err != nil {
		data.Result = editor.Result{Verdict: editor.VerdictUnavailable, Reason: "The history lies in the key-value service, which gave no answer. Come back in a few seconds."}
		console.render(writer, http.StatusServiceUnavailable, "history.html", data)

		return
	}

	data.History = record.History
	slices.Reverse(data.History)
	console.render(writer, http.StatusOK, "history.html", data)
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
	data := console.newPage(request, editTitle(section, name))
	data.Section = section.Title
	data.Name = name
	data.Mark = editor.NewMark()
	data.Form = newForm(item, fieldChoices(current.Index.Document), "", nil)
	console.render(writer, http.StatusOK, "edit.html", data)
}

// review shows the differences that a posted form would make, or its faults.
func (console *Console) review(writer http.ResponseWriter, request *http.Request) {
	console.submit(writer, request, true)
}

// apply writes the edit that was reviewed.
func (console *Console) apply(writer http.ResponseWriter, request *http.Request) {
	console.submit(writer, request, false)
}

// submit reads a posted form and reviews or applies it.
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

	data := console.newPage(request, "Review")
	data.Section = section.Title
	data.Name = request.PostForm.Get("Item")
	data.Mark = request.PostForm.Get("Mark")
	data.Revision = keeper.Revision(revision)
	data.Values = request.PostForm
	console.applyForm(writer, request, section, data, dryRun)
}

// applyForm makes the edit of a posted form, as a dry run for a review, and renders the
// result. Faults are shown in the form again.
func (console *Console) applyForm(writer http.ResponseWriter, request *http.Request, section section, data page, dryRun bool) {
	document, item, faults, err := console.editedDocument(request.Context(), section, data)
	if err != nil {
		data.Result = editor.Result{Verdict: editor.VerdictUnavailable, Reason: "Nothing was written: " + err.Error() + ". Your values are kept in this page; send them again in a few seconds."}
		if errors.Is(err, errors.NotFound) {
			data.Result = editor.Result{Verdict: editor.VerdictStale, Reason: "Nothing was written: the form was opened too long ago. Open it again."}
		}

		console.render(writer, httpStatus(data.Result.Verdict), "review.html", data)

		return
	}

	if len(faults) == 0 {
		data.Result = console.Editor.Apply(request.Context(), editor.Edit{
			Operator: data.Operator,
			Revision: data.Revision,
			Document: document,
			Mark:     data.Mark,
			DryRun:   dryRun,
		})
		faults = data.Result.Faults
	}

	if len(faults) > 0 && data.Result.Verdict != editor.VerdictForbidden && item != nil {
		prefix := fmt.Sprintf("%s[%s]", section.Title, request.PostForm.Get("Name"))
		data.Title = editTitle(section, data.Name)
		data.Result = editor.Result{Verdict: editor.VerdictInvalid, Faults: faults}
		data.Form = newForm(item, fieldChoices(document), prefix, faults)
		data.Form.restoreTypedText(data.Values)
		data.Others = faultsOutside(faults, prefix)
		console.render(writer, http.StatusUnprocessableEntity, "edit.html", data)

		return
	}

	console.render(writer, httpStatus(data.Result.Verdict), "review.html", data)
}

// editedDocument returns the document of the revision at which the form was opened, with
// the form's item changed or removed, the item (nil if removed) and its faults.
func (console *Console) editedDocument(ctx context.Context, section section, data page) (*editor.Document, any, []classifier.Fault, error) {
	document, err := console.Editor.DocumentAt(ctx, data.Revision)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}

	if data.Values.Get("Remove") != "" {
		section.replace(document, data.Name, nil)

		return document, nil, nil, nil
	}

	item, _ := section.find(document, data.Name)
	faults := decodeForm(item, data.Values, fmt.Sprintf("%s[%s]", section.Title, data.Values.Get("Name")))
	section.replace(document, data.Name, item)

	// The document is validated too, so that the operator sees all faults at once.
	if len(faults) > 0 {
		faults = append(faults, faultsOfOtherFields(editor.Validate(document), faults)...)
	}

	return document, item, faults, nil
}

// faultsOfOtherFields returns the faults of fields that have no known fault.
func faultsOfOtherFields(faults, known []classifier.Fault) []classifier.Fault {
	return slices.DeleteFunc(faults, func(fault classifier.Fault) bool {
		return slices.ContainsFunc(known, func(other classifier.Fault) bool { return other.Field == fault.Field })
	})
}

func editTitle(section section, name string) string {
	if name == "" {
		return "Add to " + section.Title
	}

	return "Edit " + section.Title + ": " + name
}

// faultsOutside returns the faults of fields outside the item at prefix.
func faultsOutside(faults []classifier.Fault, prefix string) []classifier.Fault {
	outside := []classifier.Fault{}

	for _, fault := range faults {
		if !strings.HasPrefix(fault.Field, prefix+".") {
			outside = append(outside, fault)
		}
	}

	return outside
}

func (console *Console) render(writer http.ResponseWriter, status int, name string, data page) {
	writer.Header().Set("Content-Type", "text/html; charset=utf-8")
	writer.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	writer.WriteHeader(status)

	if err := templates.ExecuteTemplate(writer, name, data); err != nil {
		console.Log.WithError(err).Warn("Console page cannot be rendered or sent completely.")
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

// joinNonEmpty joins pairs of a name and a value, without those whose value is empty.
func joinNonEmpty(pairs ...any) string {
	parts := []string{}

	for index := 0; index+1 < len(pairs); index += 2 {
		if text := strings.Trim(fmt.Sprint(pairs[index+1]), "[]"); text != "" {
			parts = append(parts, fmt.Sprintf("%v %s", pairs[index], text))
		}
	}

	return strings.Join(parts, ", ")
}
