// Package presenter shows the document to operators and takes their edits: as
// JSON for the command line, and as forms for a browser. Both end in the same
// edit of the same document.
package presenter
