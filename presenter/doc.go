// Package presenter serves the configuration document to operators and passes their edits
// to the editor. It has a JSON API for the command line and a console of HTML forms for
// browsers.
package presenter
