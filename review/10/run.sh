#!/bin/sh
folder=$(dirname "$0")
exec "$folder/../run-case-2.sh" address "$folder"
