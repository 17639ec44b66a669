package app

//go:generate wire gen .
